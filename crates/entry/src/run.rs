use std::{sync::Arc, time::Duration};

use anyhow::Context as _;
use conf::Settings;
use node::{Handlers, Links, Local, Node, Shutdown, Watch};
use quota::Quota;
use route::{Event, Router};
use tokio::{
    net::TcpListener,
    time::{self, Instant},
};
use wire::Role;

use crate::{call::Context, dispatch::Dispatcher, endpoints::Endpoints, metrics::Metrics, server};

/// Interval between tick events to the routing policy.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Runs an entry until it is told to shut down and all requests in flight have ended.
///
/// # Errors
///
/// Returns an error if a setting that an entry needs is missing, a file can't be read or an address
/// can't be bound.
pub async fn run(settings: Settings) -> anyhow::Result<()> {
    let address = settings
        .listen
        .callers
        .context("field `listen.callers`: an entry needs it; add an address")?;
    let listener = TcpListener::bind(address)
        .await
        .with_context(|| format!("field `listen.callers`: {address}"))?;
    let listen_address = listener.local_addr()?;
    let quota = Quota::new(&settings.limits);
    let node = Node::bind(settings, Role::Entry).await?;
    quota.register(&node.registry)?;
    let router = Router::new(
        node.member.zone.clone(),
        node.member.incarnation,
        Instant::now(),
    );
    let dispatcher = Dispatcher::new(Box::new(router));
    let endpoints = Endpoints::new(
        node.member.process.clone(),
        node.member.zone.clone(),
        dispatcher.clone(),
        node.recorder.clone(),
        node.members.clone(),
    );
    let local = node.local().suspicions(Arc::new(dispatcher.clone()));
    let links = node.links(&local, endpoints.clone());
    let context = Context {
        follower: node.follower.clone(),
        links: links.clone(),
        endpoints: endpoints.clone(),
        zone: node.member.zone.clone(),
        dispatcher: dispatcher.clone(),
        recorder: node.recorder.clone(),
        metrics: Metrics::register(&node.registry)?,
        shutdown: node.shutdown.clone(),
        quota,
    };
    let shutdown = node.shutdown.clone();
    tokio::spawn(apply_configurations(
        node.follower.watch(),
        links,
        endpoints.clone(),
        dispatcher.clone(),
    ));
    tokio::spawn(send_ticks(dispatcher, endpoints.clone()));
    let handlers = Handlers {
        orders: None,
        work: None,
        parts: Arc::new(
            move || serde_json::json!({ "role": "entry", "endpoints": endpoints.hints() }),
        ),
    };
    node.start(&local, handlers, Some(listen_address))?;
    tokio::spawn(announce_shutdown(shutdown.clone(), local));
    server::serve(listener, context).await;
    shutdown.drained().await;
    Ok(())
}

/// Waits for the shutdown and announces it to other processes.
async fn announce_shutdown(shutdown: Shutdown, local: Local) {
    shutdown.draining().await;
    local.leave();
}

/// Applies each new configuration to the endpoints, the routing policy and the links.
async fn apply_configurations(
    mut watch: Watch,
    links: Links,
    endpoints: Arc<Endpoints>,
    dispatcher: Dispatcher,
) {
    loop {
        let document = watch.borrow_and_update().document.clone();
        if let Some(document) = document {
            let addresses = endpoints.apply(&document);
            dispatcher.notify(Event::Document(document));
            links.set_addresses(&addresses);
        }
        if watch.changed().await.is_err() {
            return;
        }
    }
}

/// Sends tick events and the number of entries to the routing policy, several times a second.
async fn send_ticks(dispatcher: Dispatcher, endpoints: Arc<Endpoints>) {
    let mut ticks = time::interval(TICK_INTERVAL);
    loop {
        ticks.tick().await;
        dispatcher.notify(Event::Tick);
        endpoints.report_entry_count();
    }
}
