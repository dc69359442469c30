use std::sync::Arc;

use anyhow::Context as _;
use conf::Settings;
use gate::Event;
use node::{Handlers, Links, Local, Node, Shutdown, Watch};
use once::Records;
use tokio::time::Instant;
use wire::Role;

use crate::{
    admission::Admission,
    coordinator::{Coordinator, Noop},
    engine::Engine,
    health,
    metrics::Metrics,
    orders::Orders,
    output::Outputs,
    record::Store,
    serve::Server,
};

/// Runs an agent until it is told to shut down and all attempts in flight have ended.
///
/// # Errors
///
/// Returns an error if a setting that an agent needs is missing, a file can't be read or an address
/// can't be bound.
pub async fn run(settings: Settings) -> anyhow::Result<()> {
    let endpoint = settings
        .endpoint
        .clone()
        .context("field `endpoint`: an agent needs it; name the endpoint it serves")?;
    let address = settings
        .engine
        .context("field `engine`: an agent needs it; add the engine's address")?;
    let node = Node::bind(settings, Role::Agent).await?;
    let incarnation = node.member.incarnation;
    let admission = {
        let policy = gate::Controller::new(endpoint.clone(), incarnation, Instant::now());
        Admission::new(Box::new(policy), endpoint.clone(), node.recorder.clone())
    };
    let load = {
        let admission = admission.clone();
        Arc::new(move || admission.hint())
    };
    let local = node
        .local()
        .load(load)
        .suspicions(Arc::new(admission.clone()));
    let engine = Engine::new(address);
    let metrics = Metrics::register(&node.registry)?;
    let records = Records::new(endpoint.clone(), incarnation, Instant::now());
    let store = Store::new(Box::new(records), metrics.clone());
    let server = Server {
        endpoint,
        admission: admission.clone(),
        store: store.clone(),
        outputs: Outputs::default(),
        engine: engine.clone(),
        recorder: node.recorder.clone(),
        metrics: metrics.clone(),
        shutdown: node.shutdown.clone(),
    };
    let orders = Orders::new(address, incarnation);
    let links = node.links(&local, Arc::new(Noop));
    let coordinator = coordinator(&server, &node, links, orders.clone());
    let shutdown = node.shutdown.clone();
    tokio::spawn(coordinator.run());
    tokio::spawn(apply_configurations(
        node.follower.watch(),
        store,
        admission.clone(),
    ));
    tokio::spawn(health::check(engine, admission.clone()));
    tokio::spawn(health::send_ticks(admission.clone(), metrics));
    let parts = {
        let admission = admission.clone();
        Arc::new(move || serde_json::json!({ "role": "agent", "load": admission.hint() }))
    };
    let handlers = Handlers {
        orders: Some(Arc::new(orders)),
        work: Some(Arc::new(server)),
        parts,
    };
    node.start(&local, handlers, None)?;
    shut_down(&shutdown, &local, &admission).await;
    Ok(())
}

/// Creates the coordinator of the endpoint's group.
fn coordinator(server: &Server, node: &Node, links: Links, orders: Orders) -> Coordinator {
    Coordinator {
        process: node.member.process.clone(),
        endpoint: server.endpoint.clone(),
        incarnation: node.member.incarnation,
        watch: node.follower.watch(),
        links,
        orders,
        recorder: server.recorder.clone(),
    }
}

/// Waits for the shutdown, announces it, refuses new attempts and waits for those in flight.
async fn shut_down(shutdown: &Shutdown, local: &Local, admission: &Admission) {
    shutdown.draining().await;
    local.leave();
    admission.notify(Event::Shutdown);
    shutdown.drained().await;
}

/// Applies each new configuration to the ledger and the admission policy.
async fn apply_configurations(mut watch: Watch, store: Store, admission: Admission) {
    loop {
        let current = watch.borrow_and_update().clone();
        if let Some(document) = current.document {
            store.apply(&document);
            admission.notify(Event::Document {
                number: current.version.number,
                document,
            });
        }
        if watch.changed().await.is_err() {
            return;
        }
    }
}
