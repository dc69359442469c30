use std::{sync::Arc, time::Duration};

use anyhow::Context as _;
use conf::id;
use fleet::{Always, Follower, Source};
use group::Memory;
use node::probe;
use prometheus::Registry;
use tokio::{
    net::{TcpListener, UdpSocket},
    signal::unix::{SignalKind, signal},
    time::{self, Instant},
};

use crate::{
    Connector, Settings, announce::Announcer, beacon, failover, metrics::Metrics, peers,
    peers::Peers, worker::Worker,
};

/// Interval at which the agent checks whether it leads a group.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Runs an agent until the process receives a shutdown signal.
///
/// # Errors
///
/// Returns an error if an address cannot be bound, a signal handler cannot be installed or a metric
/// cannot be registered.
pub async fn run(
    settings: Settings,
    connector: Arc<dyn Connector>,
    source: Arc<dyn Source>,
) -> anyhow::Result<()> {
    log::info!(process:% = settings.name, zone:% = settings.zone, build = env!("CARGO_PKG_VERSION"); "start");
    let shutdown = node::shutdown_on_signal()?;
    let mut hangup = signal(SignalKind::hangup())?;
    let registry = Registry::new();
    let follower = Arc::new(Follower::new(&registry)?);
    let metrics = Metrics::register(&registry)?;
    let peers = Peers::new(settings.map);
    let peers_address = settings.listen.peers;
    let socket = UdpSocket::bind(peers_address)
        .await
        .context("field `listen.peers`")?;
    let listener = TcpListener::bind(peers_address)
        .await
        .context("field `listen.peers`")?;
    let groups = group::Socket::bind(settings.listen.groups)
        .await
        .context("field `listen.groups`")?;
    let mut memory = Memory::new(Instant::now());
    if settings.first_start {
        memory = memory.first_start();
    }
    let announcer = Announcer::new(
        groups,
        settings.service.clone(),
        &settings.seeds,
        peers.clone(),
        memory,
    )?;
    let operators = TcpListener::bind(settings.listen.operators)
        .await
        .context("field `listen.operators`")?;
    tokio::spawn(probe::serve(operators, probe::metrics(registry)));
    tokio::spawn(peers::serve(listener, peers.clone()));
    let view = follower.subscribe();
    let service = settings.service.clone();
    tokio::spawn(beacon::run(
        socket,
        peers_address,
        service.clone(),
        peers.clone(),
        view,
    ));
    tokio::spawn(announcer.clone().run());
    let worker = Worker::new(
        settings.engine,
        &*connector,
        peers.clone(),
        announcer,
        metrics,
    );
    tokio::spawn(worker.run());
    tokio::spawn(failover::run(peers.clone(), connector));
    tokio::spawn(follow_when_leading(service, peers, follower, source));
    loop {
        tokio::select! {
            () = shutdown.draining() => break,
            _ = hangup.recv() => log::info!("reload ignored: an agent reads its settings only at start"),
        }
    }
    log::info!(process:% = settings.name; "stop");
    Ok(())
}

/// Follows the store once this agent leads a group, to find the other agents and the limits of a
/// change; an agent that has never led sends the store no requests.
async fn follow_when_leading(
    service: id::Service,
    peers: Arc<Peers>,
    follower: Arc<Follower>,
    source: Arc<dyn Source>,
) {
    while peers.led_group().is_none() {
        time::sleep(POLL_INTERVAL).await;
    }
    let mut view = follower.subscribe();
    tokio::spawn(follower.run(source, Arc::new(Always)));
    let mut ticks = time::interval(POLL_INTERVAL);
    loop {
        // Also on ticks without a change, since this agent may have become the leader of another group.
        tokio::select! {
            _ = ticks.tick() => {}
            changed = view.changed() => if changed.is_err() {
                return;
            },
        }
        let view = view.borrow_and_update().clone();
        let Some(configuration) = view.configuration.as_ref() else {
            continue;
        };
        let engine = configuration
            .services
            .get(&service)
            .and_then(|s| s.engine.as_ref());
        if let Some(engine) = engine {
            peers.set_limits(
                engine.expert_slots,
                engine.max_new_experts,
                engine.copy_time,
            );
            peers.set_gap_target(
                engine.step_time * engine.steps_per_pass,
                configuration.gap_target(&service),
            );
        }
    }
}
