use std::{sync::Arc, time::Duration};

use anyhow::Context as _;
use conf::Settings;
use node::{Handlers, Links, Local, Node, Shutdown, Watch};
use route::{Event, Router};
use tokio::{
    net::TcpListener,
    time::{self, Instant},
};
use wire::Role;

use crate::{call::Context, choose::Chooser, fleet::Fleet, metrics::Metrics, server};

/// Time between two ticks of the policy.
const TICK: Duration = Duration::from_millis(100);

/// Runs an entry until it is told to shut down and all in flight has ended.
///
/// # Errors
///
/// Returns an error if the settings do not fit the role, a file cannot be read or an address cannot be bound.
pub async fn run(settings: Settings) -> anyhow::Result<()> {
    let address = settings
        .listen
        .callers
        .context("field `listen.callers`: an entry needs it; add an address")?;
    let callers = TcpListener::bind(address)
        .await
        .with_context(|| format!("field `listen.callers`: {address}"))?;
    let listening = callers.local_addr()?;
    let base = Node::bind(settings, Role::Entry).await?;
    let router = Router::new(
        base.member.zone.clone(),
        base.member.incarnation,
        Instant::now(),
    );
    let chooser = Chooser::new(Box::new(router));
    let fleet = Fleet::new(
        base.member.process.clone(),
        base.member.zone.clone(),
        chooser.clone(),
        base.recorder.clone(),
        base.members.clone(),
    );
    let own = base.local().suspicions(Arc::new(chooser.clone()));
    let links = base.links(&own, fleet.clone());
    let context = Context {
        follow: base.follower.clone(),
        links: links.clone(),
        fleet: fleet.clone(),
        zone: base.member.zone.clone(),
        chooser: chooser.clone(),
        recorder: base.recorder.clone(),
        metrics: Metrics::register(&base.registry)?,
        shutdown: base.shutdown.clone(),
    };
    let shutdown = base.shutdown.clone();
    tokio::spawn(adopt(
        base.follower.watch(),
        links,
        fleet.clone(),
        chooser.clone(),
    ));
    tokio::spawn(tick(chooser, fleet.clone()));
    let ports = Handlers {
        orders: None,
        work: None,
        parts: Arc::new(move || serde_json::json!({ "role": "entry", "endpoints": fleet.hints() })),
    };
    base.start(&own, ports, Some(listening))?;
    tokio::spawn(leave(shutdown.clone(), own));
    server::serve(callers, context).await;
    shutdown.drained().await;
    Ok(())
}

/// Tells the peers as soon as the process shuts down.
async fn leave(shutdown: Shutdown, own: Local) {
    shutdown.draining().await;
    own.leave();
}

/// Brings each new configuration into force.
async fn adopt(mut watch: Watch, links: Links, fleet: Arc<Fleet>, chooser: Chooser) {
    loop {
        let document = watch.borrow_and_update().document.clone();
        if let Some(document) = document {
            let addresses = fleet.adopt(&document);
            chooser.tell(Event::Document(document));
            links.set_addresses(&addresses);
        }
        if watch.changed().await.is_err() {
            return;
        }
    }
}

async fn tick(chooser: Chooser, fleet: Arc<Fleet>) {
    let mut ticks = time::interval(TICK);
    loop {
        ticks.tick().await;
        chooser.tell(Event::Tick);
        fleet.count();
    }
}
