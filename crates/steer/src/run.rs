use std::{sync::Arc, time::Duration};

use anyhow::Context as _;
use conf::id;
use fleet::{Follower, Source};
use node::probe;
use prometheus::Registry;
use tokio::{
    net::{TcpListener, UdpSocket},
    signal::unix::{SignalKind, signal},
    time,
};

use crate::{Reach, Settings, beacon, crew, crew::Crew, member::Member, metrics::Metrics, rescue};

/// Time between two looks at whether the engine has a group.
const LOOK: Duration = Duration::from_millis(100);

/// Runs an agent until it is told to stop.
///
/// # Errors
///
/// Returns an error if an address cannot be bound or a signal cannot be listened to.
pub async fn run(
    settings: Settings,
    reach: Arc<dyn Reach>,
    source: Arc<dyn Source>,
) -> anyhow::Result<()> {
    log::info!(process:% = settings.name, zone:% = settings.zone, build = env!("CARGO_PKG_VERSION"); "start");
    let shutdown = node::shutdown()?;
    let mut hangup = signal(SignalKind::hangup())?;
    let registry = Registry::new();
    let follow = Arc::new(Follower::new(&registry)?);
    let metrics = Metrics::register(&registry)?;
    let crew = Crew::new(settings.map);
    let peers = settings.listen.peers;
    let socket = UdpSocket::bind(peers)
        .await
        .context("field `listen.peers`")?;
    let listener = TcpListener::bind(peers)
        .await
        .context("field `listen.peers`")?;
    let operators = TcpListener::bind(settings.listen.operators)
        .await
        .context("field `listen.operators`")?;
    tokio::spawn(probe::serve(operators, probe::metrics(registry)));
    tokio::spawn(crew::serve(listener, crew.clone()));
    let view = follow.subscribe();
    let service = settings.service.clone();
    tokio::spawn(beacon::run(
        socket,
        peers,
        service.clone(),
        crew.clone(),
        view,
    ));
    tokio::spawn(Member::new(settings.engine, &*reach, crew.clone(), metrics).run());
    tokio::spawn(rescue::run(crew.clone(), reach));
    tokio::spawn(follow_when_leading(service, crew, follow, source));
    loop {
        tokio::select! {
            () = shutdown.draining() => break,
            _ = hangup.recv() => log::info!("reload: an agent's settings hold for its life"),
        }
    }
    log::info!(process:% = settings.name; "stop");
    Ok(())
}

/// Follows the store once this agent leads a group, to find the others; until then nothing is asked.
async fn follow_when_leading(
    service: id::Service,
    crew: Arc<Crew>,
    follow: Arc<Follower>,
    source: Arc<dyn Source>,
) {
    while crew.leads().is_none() {
        time::sleep(LOOK).await;
    }
    let mut view = follow.subscribe();
    tokio::spawn(follow.run(source));
    let mut ticks = time::interval(LOOK);
    loop {
        // Also without news, since another leader may have started in this process meanwhile.
        tokio::select! {
            _ = ticks.tick() => {}
            changed = view.changed() => if changed.is_err() {
                return;
            },
        }
        let view = view.borrow_and_update().clone();
        let service = view
            .configuration
            .as_ref()
            .and_then(|c| c.services.get(&service));
        if let Some(engine) = service.and_then(|s| s.engine.as_ref()) {
            crew.allow(
                engine.expert_slots,
                engine.max_new_experts,
                engine.copy_time,
            );
        }
    }
}
