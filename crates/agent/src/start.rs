use std::sync::{Arc, Mutex};

use anyhow::Context as _;
use conf::Settings;
use event::Recorder;
use gate::Event;
use node::{Callee, Follow, Links, Operator, Own, Ready, Shutdown, Watch};
use once::Ledger;
use prometheus::Registry;
use tokio::net::TcpListener;
use wire::{Listener, Member, Role, Tls};

use crate::{
    admit::Gatekeeper,
    engine::Engine,
    health,
    lead::{Lead, Quiet},
    metrics::Metrics,
    orders::Orders,
    serve::Server,
};

/// Run records that are kept until the configuration says how many.
const RECORDS: usize = 10_000;

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
    let gatekeeper = Gatekeeper::new(Box::new(gate::Plain::new(endpoint.clone(), incarnation)));
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
    let own = Own::new(member, follow.clone(), recorder.clone()).load(load);
    let engine = Engine::new(address);
    let ledger: Box<dyn Ledger> = Box::new(once::Plain::new(RECORDS));
    let server = Server {
        endpoint,
        gatekeeper: gatekeeper.clone(),
        ledger: Arc::new(Mutex::new(ledger)),
        engine: engine.clone(),
        recorder: recorder.clone(),
        metrics: Metrics::register(&registry)?,
        shutdown: shutdown.clone(),
    };
    let orders = Orders::new(address, incarnation);
    let callee = Callee::new(
        own.clone(),
        follow.clone(),
        recorder.clone(),
        Arc::default(),
    );
    let callee = Arc::new(callee.orders(Arc::new(orders.clone())));
    let links = Links::new(
        tls,
        own.clone(),
        follow.clone(),
        Arc::new(Quiet),
        settings.heartbeat,
    );
    let lead = Lead {
        process: settings.name.clone(),
        endpoint: server.endpoint.clone(),
        life: incarnation,
        watch: follow.watch(),
        links,
        orders,
        recorder: recorder.clone(),
    };
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
    tokio::spawn(follow.clone().run(settings.platform));
    tokio::spawn(adopt(follow.watch(), gatekeeper.clone()));
    tokio::spawn(lead.run());
    tokio::spawn(health::watch(engine, gatekeeper.clone()));
    tokio::spawn(node::serve(listener, callee, Some(Arc::new(server))));
    tokio::spawn(operator.run(operators));
    ready.print();
    leave(&shutdown, &own, &gatekeeper).await;
    Ok(())
}

/// Waits for the shutdown, refuses new work, and lets all in flight end.
async fn leave(shutdown: &Shutdown, own: &Own, gatekeeper: &Gatekeeper) {
    shutdown.draining().await;
    own.leave();
    gatekeeper.tell(Event::Leave);
    shutdown.drained().await;
}

/// Brings each new configuration into force.
async fn adopt(mut watch: Watch, gatekeeper: Gatekeeper) {
    loop {
        let current = watch.borrow_and_update().clone();
        if let Some(document) = current.document {
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
