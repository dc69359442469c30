use std::sync::Arc;

use anyhow::Context as _;
use conf::Settings;
use event::Recorder;
use gate::Event;
use node::{Callee, Follow, Links, Operator, Overlay, Own, Ready, Shutdown, Watch};
use once::Records;
use peer::Members;
use prometheus::Registry;
use tokio::{net::TcpListener, time::Instant};
use wire::{Listener, Member, Role, Tls};

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
        .context("field `endpoint`: an agent needs it; name the endpoint it serves")?;
    let address = settings
        .engine
        .context("field `engine`: an agent needs it; add the engine's address")?;
    let tls = Tls::load(&settings.identity)?;
    let operators = TcpListener::bind(settings.listen.operators)
        .await
        .context("field `listen.operators`")?;
    let listener = Listener::bind(settings.listen.peers, &tls).context("field `listen.peers`")?;
    let ready = Ready {
        callers: None,
        peers: listener.address()?,
        operators: operators.local_addr()?,
    };
    let recorder = Recorder::new(settings.name.clone());
    let follow = Follow::new(recorder.clone());
    let shutdown = node::shutdown()?;
    let registry = Registry::new();
    let incarnation = node::incarnation();
    let gatekeeper = {
        let policy = gate::Guard::new(endpoint.clone(), incarnation, Instant::now());
        Gatekeeper::new(Box::new(policy), endpoint.clone(), recorder.clone())
    };
    let member = Member {
        process: settings.name.clone(),
        incarnation,
        role: Role::Agent,
        zone: settings.zone.clone(),
        address: ready.peers,
        leaving: false,
    };
    let load = {
        let gatekeeper = gatekeeper.clone();
        Arc::new(move || gatekeeper.hint())
    };
    follow.take_turns(&member);
    follow.register(&registry)?;
    let own = Own::new(member, follow.clone(), recorder.clone())
        .load(load)
        .suspicions(Arc::new(gatekeeper.clone()));
    let engine = Engine::new(address);
    let metrics = Metrics::register(&registry)?;
    let ledger = Records::new(endpoint.clone(), incarnation, Instant::now());
    let book = Book::new(Box::new(ledger), metrics.clone());
    let server = Server {
        endpoint,
        gatekeeper: gatekeeper.clone(),
        book: book.clone(),
        outlets: Outlets::default(),
        engine: engine.clone(),
        recorder: recorder.clone(),
        metrics: metrics.clone(),
        shutdown: shutdown.clone(),
    };
    let orders = Orders::new(address, incarnation);
    let members = Arc::new(Members::default());
    let overlay = Overlay::new(
        own.clone(),
        follow.clone(),
        members.clone(),
        settings.peers.clone(),
    );
    let callee = Callee::new(own.clone(), follow.clone(), recorder.clone(), members);
    let callee = Arc::new(callee.orders(Arc::new(orders.clone())));
    let links = Links::new(
        tls.clone(),
        own.clone(),
        follow.clone(),
        Arc::new(Quiet),
        settings.heartbeat,
    );
    let lead = lead(&server, own.clone(), follow.watch(), links, orders);
    let parts = {
        let gatekeeper = gatekeeper.clone();
        Arc::new(move || serde_json::json!({ "role": "agent", "load": gatekeeper.hint() }))
    };
    let operator = Operator::new(
        settings.name,
        follow.clone(),
        recorder,
        registry,
        shutdown.clone(),
        parts,
    );
    tokio::spawn(lead.run());
    let has_peers = !settings.peers.is_empty();
    tokio::spawn(follow.clone().run(settings.platform, has_peers));
    tokio::spawn(overlay.run(tls, settings.heartbeat));
    tokio::spawn(adopt(follow.watch(), book, gatekeeper.clone()));
    tokio::spawn(health::watch(engine, gatekeeper.clone()));
    tokio::spawn(health::tick(gatekeeper.clone(), metrics));
    tokio::spawn(node::serve(listener, callee, Some(Arc::new(server))));
    tokio::spawn(operator.run(operators));
    ready.print();
    leave(&shutdown, &own, &gatekeeper).await;
    Ok(())
}

/// Makes the part that leads the endpoint's group when it is this agent's turn.
fn lead(server: &Server, own: Own, watch: Watch, links: Links, orders: Orders) -> Lead {
    let member = own.beat().member;
    Lead {
        process: member.process,
        endpoint: server.endpoint.clone(),
        life: member.incarnation,
        watch,
        links,
        orders,
        recorder: server.recorder.clone(),
    }
}

/// Waits for the shutdown, refuses new work, and lets all in flight end.
async fn leave(shutdown: &Shutdown, own: &Own, gatekeeper: &Gatekeeper) {
    shutdown.draining().await;
    own.leave();
    gatekeeper.tell(Event::Leave);
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
