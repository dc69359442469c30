use std::{
    path::PathBuf,
    sync::{Arc, Mutex},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use anyhow::Context as _;
use conf::id;
use fleet::{Follower, Source};
use node::probe;
use prometheus::Registry;
use quota::Quota;
use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
    time::{self, Instant},
};

use crate::{
    Balancer, Grace, Protocol, Settings, call::Context, gossip::Gossip, groups::Groups,
    metrics::Metrics, pool::Pool, server, sync, watching::Watching,
};

/// Interval at which expired idle connections are closed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which the settings file is read again, since it may change without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(5);

/// Runs an entry until it is told to shut down and all requests in flight have ended or the grace
/// period is over.
///
/// # Errors
///
/// Returns an error if an address cannot be bound, a metric cannot be registered or a signal handler
/// cannot be installed.
pub async fn run(
    settings: Settings,
    path: PathBuf,
    protocol: Arc<dyn Protocol>,
    source: Arc<dyn Source>,
) -> anyhow::Result<()> {
    log::info!(process:% = settings.name, zone:% = settings.zone, first_start = settings.first_start, build = env!("CARGO_PKG_VERSION"); "start");
    let registry = Registry::new();
    let metrics = Metrics::register(&registry)?;
    let follower = Arc::new(Follower::new(&registry)?);
    let mut balancer = Balancer::new(
        settings.zone.clone(),
        settings.bounds.clone(),
        rand::random(),
        Instant::now(),
    );
    if settings.first_start {
        balancer = balancer.first_start();
    }
    let quota = Quota::new(&settings.limits);
    quota.register(&registry)?;
    let context = Arc::new(Context {
        protocol,
        view: follower.subscribe(),
        balancer: Mutex::new(balancer),
        pool: Pool::default(),
        metrics,
        shutdown: node::shutdown_on_signal()?,
        grace: Grace::new(settings.bounds.grace),
        quota,
    });
    let listen = &settings.listen;
    let ready = bind(listen.ready, "ready").await?;
    let operators = bind(listen.operators, "operators").await?;
    let peers = bind(listen.peers, "peers").await?;
    let clients = bind(listen.callers, "callers").await?;
    let watching = Arc::new(Watching::new(&settings));
    let gossip = Gossip::bind(
        &settings,
        follower.clone(),
        context.clone(),
        watching.clone(),
    )
    .await?;
    tokio::spawn(reload(path, settings.clone(), gossip.clone())?);
    tokio::spawn(probe::serve(ready, readiness(&context)));
    tokio::spawn(probe::serve(operators, probe::metrics(registry)));
    tokio::spawn(sync::serve(peers, follower.clone()));
    let groups = Groups::bind(&settings, context.clone(), gossip.clone()).await?;
    tokio::spawn(groups.run());
    tokio::spawn(gossip.run());
    tokio::spawn(follower.run(source, watching));
    tokio::spawn(clean_up(context.clone()));
    server::serve(clients, context).await;
    log::info!(process:% = settings.name; "stop");
    Ok(())
}

async fn bind(address: std::net::SocketAddr, field: &str) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("field `listen.{field}`: {address}"))
}

/// Returns the readiness check, which passes once a configuration is known and until the process
/// shuts down.
fn readiness(context: &Arc<Context>) -> probe::Responder {
    let context = context.clone();
    probe::readiness(move || {
        !context.shutdown.is_draining() && context.view.borrow().configuration.is_some()
    })
}

/// Removes the state of endpoints that are no longer known, and idle connections that have expired.
async fn clean_up(context: Arc<Context>) {
    let mut view = context.view.clone();
    let mut ticks = time::interval(SWEEP_INTERVAL);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    // Number of broken connections and blamed subjects that were forgotten, as last logged.
    let mut evidence_lost = 0;
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            changed = view.changed() => if changed.is_err() {
                return;
            },
        }
        let current = view.borrow_and_update().clone();
        let now = Instant::now();
        let is_available = |id: &id::Endpoint| {
            let known = current.endpoints.get(id);
            known.is_some_and(|known| current.is_available(known, now))
        };
        context.pool.sweep(is_available);
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH);
        let restarted = context.with_balancer(|balancer| {
            balancer.observe_starts(&current, unix_time.unwrap_or_default(), now)
        });
        for service in restarted {
            log::info!(service:% = service; "endpoints restarted before this entry started");
        }
        let (lowest, share, retries, evicted) = context.with_balancer(|balancer| {
            balancer.retain_known(&current, now);
            let lowest = balancer.lowest_comfortable_load(&current, now);
            let (share, retries) = (balancer.highest_spill(now), balancer.retry_totals());
            (lowest, share, retries, balancer.evicted())
        });
        context.metrics.record_retries(retries);
        context.metrics.record_evicted(evicted);
        let lost = evicted.breaks + evicted.suspects;
        if lost > evidence_lost {
            log::warn!(breaks = evicted.breaks, suspects = evicted.suspects; "evidence of crashes was forgotten for lack of room");
            evidence_lost = lost;
        }
        context.metrics.comfortable_load.set(lowest.unwrap_or(0.0));
        context.metrics.other_zone_share.set(share);
    }
}

/// Returns a task that reloads the seeds from the settings file at SIGHUP and every five seconds.
fn reload(
    path: PathBuf,
    settings: Settings,
    gossip: Arc<Gossip>,
) -> anyhow::Result<impl Future<Output = ()>> {
    let mut hangup = signal(SignalKind::hangup())?;
    Ok(async move {
        let mut seeds = settings.seeds;
        loop {
            let signalled = tokio::select! {
                _ = hangup.recv() => true,
                () = time::sleep(RELOAD_INTERVAL) => false,
            };
            match Settings::load(&path) {
                Ok(next) => {
                    if signalled || next.seeds != seeds {
                        log::info!(signalled = signalled, seeds:? = next.seeds; "reload");
                    }
                    gossip.set_seeds(&next.seeds);
                    seeds = next.seeds;
                }
                Err(e) => {
                    log::warn!(reason:% = format!("{e:#}"); "settings cannot be reloaded; the previous ones stay in effect")
                }
            }
        }
    })
}
