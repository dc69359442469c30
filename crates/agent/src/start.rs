use std::sync::Arc;

use anyhow::Context as _;
use conf::Settings;
use gate::Event;
use node::{Handlers, Links, Local, Node, Shutdown, Watch};
use once::Records;
use tokio::time::Instant;
use wire::Role;

use crate::{
    admit::Gatekeeper,
    engine::Engine,
    health,
    lead::{Lead, Quiet},
    metrics::Metrics,
    orders::Orders,
    outlet::Outlets,
    record::Book,
    serve::Server,
};

/// Runs an agent until it is told to shut down and all in flight has ended.
///
/// # Errors
///
/// Returns an error if the settings do not fit the role, a file cannot be read or an address cannot be bound.
pub async fn run(settings: Settings) -> anyhow::Result<()> {
    let endpoint = settings
        .endpoint
        .clone()
        .context("field `endpoint`: an agent needs it; name the endpoint it serves")?;
    let address = settings
        .engine
        .context("field `engine`: an agent needs it; add the engine's address")?;
    let base = Node::bind(settings, Role::Agent).await?;
    let incarnation = base.member.incarnation;
    let gatekeeper = {
        let policy = gate::Controller::new(endpoint.clone(), incarnation, Instant::now());
        Gatekeeper::new(Box::new(policy), endpoint.clone(), base.recorder.clone())
    };
    let load = {
        let gatekeeper = gatekeeper.clone();
        Arc::new(move || gatekeeper.hint())
    };
    let own = base
        .local()
        .load(load)
        .suspicions(Arc::new(gatekeeper.clone()));
    let engine = Engine::new(address);
    let metrics = Metrics::register(&base.registry)?;
    let ledger = Records::new(endpoint.clone(), incarnation, Instant::now());
    let book = Book::new(Box::new(ledger), metrics.clone());
    let server = Server {
        endpoint,
        gatekeeper: gatekeeper.clone(),
        book: book.clone(),
        outlets: Outlets::default(),
        engine: engine.clone(),
        recorder: base.recorder.clone(),
        metrics: metrics.clone(),
        shutdown: base.shutdown.clone(),
    };
    let orders = Orders::new(address, incarnation);
    let links = base.links(&own, Arc::new(Quiet));
    let lead = lead(&server, &base, links, orders.clone());
    let shutdown = base.shutdown.clone();
    tokio::spawn(lead.run());
    tokio::spawn(adopt(base.follower.watch(), book, gatekeeper.clone()));
    tokio::spawn(health::watch(engine, gatekeeper.clone()));
    tokio::spawn(health::tick(gatekeeper.clone(), metrics));
    let parts = {
        let gatekeeper = gatekeeper.clone();
        Arc::new(move || serde_json::json!({ "role": "agent", "load": gatekeeper.hint() }))
    };
    let ports = Handlers {
        orders: Some(Arc::new(orders)),
        work: Some(Arc::new(server)),
        parts,
    };
    base.start(&own, ports, None)?;
    leave(&shutdown, &own, &gatekeeper).await;
    Ok(())
}

/// Makes the part that leads the endpoint's group when it is this agent's turn.
fn lead(server: &Server, base: &Node, links: Links, orders: Orders) -> Lead {
    Lead {
        process: base.member.process.clone(),
        endpoint: server.endpoint.clone(),
        life: base.member.incarnation,
        watch: base.follower.watch(),
        links,
        orders,
        recorder: server.recorder.clone(),
    }
}

/// Waits for the shutdown, refuses new work, and lets all in flight end.
async fn leave(shutdown: &Shutdown, own: &Local, gatekeeper: &Gatekeeper) {
    shutdown.draining().await;
    own.leave();
    gatekeeper.tell(Event::Shutdown);
    shutdown.drained().await;
}

/// Brings each new configuration into force.
async fn adopt(mut watch: Watch, book: Book, gatekeeper: Gatekeeper) {
    loop {
        let current = watch.borrow_and_update().clone();
        if let Some(document) = current.document {
            book.adopt(&document);
            gatekeeper.tell(Event::Document {
                number: current.version.number,
                document,
            });
        }
        if watch.changed().await.is_err() {
            return;
        }
    }
}
