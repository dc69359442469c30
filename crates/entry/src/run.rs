use std::{sync::Arc, time::Duration};

use anyhow::Context as _;
use conf::Settings;
use event::Recorder;
use node::{Callee, Follow, Links, Operator, Overlay, Own, Ready, Shutdown, Watch};
use peer::Members;
use prometheus::Registry;
use route::{Event, Router};
use tokio::{
    net::TcpListener,
    time::{self, Instant},
};
use wire::{Listener, Member, Role, Tls};

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
    let tls = Tls::load(&settings.identity)?;
    let callers = TcpListener::bind(address)
        .await
        .with_context(|| format!("field `listen.callers`: {address}"))?;
    let operators = TcpListener::bind(settings.listen.operators)
        .await
        .context("field `listen.operators`")?;
    let listener = Listener::bind(settings.listen.peers, &tls).context("field `listen.peers`")?;
    let ready = Ready {
        callers: Some(callers.local_addr()?),
        peers: listener.address()?,
        operators: operators.local_addr()?,
    };
    let recorder = Recorder::new(settings.name.clone());
    let follow = Follow::new(recorder.clone());
    let shutdown = node::shutdown()?;
    let registry = Registry::new();
    let incarnation = node::incarnation();
    let router = Router::new(settings.zone.clone(), incarnation, Instant::now());
    let chooser = Chooser::new(Box::new(router));
    let members = Arc::new(Members::default());
    let fleet = Fleet::new(
        settings.name.clone(),
        chooser.clone(),
        recorder.clone(),
        members.clone(),
    );
    let member = Member {
        process: settings.name.clone(),
        incarnation,
        role: Role::Entry,
        zone: settings.zone.clone(),
        address: ready.peers,
        leaving: false,
    };
    follow.take_turns(&member);
    follow.register(&registry)?;
    let own =
        Own::new(member, follow.clone(), recorder.clone()).suspicions(Arc::new(chooser.clone()));
    let overlay = Overlay::new(
        own.clone(),
        follow.clone(),
        members.clone(),
        settings.peers.clone(),
    );
    let links = Links::new(
        tls.clone(),
        own.clone(),
        follow.clone(),
        fleet.clone(),
        settings.heartbeat,
    );
    let context = Context {
        follow: follow.clone(),
        links: links.clone(),
        fleet: fleet.clone(),
        zone: settings.zone.clone(),
        chooser: chooser.clone(),
        recorder: recorder.clone(),
        metrics: Metrics::register(&registry)?,
        shutdown: shutdown.clone(),
    };
    let callee = Arc::new(Callee::new(
        own.clone(),
        follow.clone(),
        recorder.clone(),
        members,
    ));
    let parts = {
        let fleet = fleet.clone();
        Arc::new(move || serde_json::json!({ "role": "entry", "endpoints": fleet.hints() }))
    };
    let operator = Operator::new(
        settings.name,
        follow.clone(),
        recorder,
        registry,
        shutdown.clone(),
        parts,
    );
    let has_peers = !settings.peers.is_empty();
    tokio::spawn(follow.clone().run(settings.platform, has_peers));
    tokio::spawn(overlay.run(tls, settings.heartbeat));
    tokio::spawn(adopt(follow.watch(), links, fleet.clone(), chooser.clone()));
    tokio::spawn(tick(chooser, fleet));
    tokio::spawn(node::serve(listener, callee, None));
    tokio::spawn(operator.run(operators));
    ready.print();
    tokio::spawn(leave(shutdown.clone(), own));
    server::serve(callers, context).await;
    shutdown.drained().await;
    Ok(())
}

/// Tells the peers as soon as the process shuts down.
async fn leave(shutdown: Shutdown, own: Own) {
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
            links.want(&addresses);
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
