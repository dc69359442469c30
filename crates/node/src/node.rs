use std::{net::SocketAddr, sync::Arc};

use anyhow::Context as _;
use conf::Settings;
use event::Recorder;
use peer::Members;
use prometheus::Registry;
use tokio::net::TcpListener;
use wire::{Listener, Member, Role, Tls};

use crate::{
    Addresses, Admin, Follower, Handler, Links, Local, Observer, Orders, Overlay, Parts, Shutdown,
    Work, listen, new_incarnation, shutdown_on_signal,
};

/// Common components of an entry or agent process, with its listening sockets bound.
pub struct Node {
    /// Settings of the process.
    pub settings: Settings,
    /// Description of the process that heartbeats carry.
    pub member: Member,
    /// Recorder of the events that `/events` returns.
    pub recorder: Recorder,
    /// Replica of the configuration log.
    pub follower: Follower,
    /// Graceful shutdown of the process, started by a signal.
    pub shutdown: Shutdown,
    /// Registry of the metrics that `/metrics` returns.
    pub registry: Registry,
    /// Table of the other known processes.
    pub members: Arc<Members>,
    tls: Tls,
    peer_listener: Listener,
    operator_listener: TcpListener,
}

/// Components by which a role handles calls of other processes and requests of operators.
pub struct Handlers {
    /// Applies orders of a group's leader; agents only.
    pub orders: Option<Arc<dyn Orders>>,
    /// Serves work streams; agents only.
    pub work: Option<Arc<dyn Work>>,
    /// Returns the role-specific part of the status.
    pub parts: Parts,
}

/// # Construction
impl Node {
    /// Creates the components and binds the addresses for peers and operators.
    ///
    /// # Errors
    ///
    /// Returns an error if a file of the identity cannot be read, an address cannot be bound or the
    /// signal handlers cannot be installed.
    pub async fn bind(settings: Settings, role: Role) -> anyhow::Result<Self> {
        let tls = Tls::load(&settings.identity)?;
        let operator_listener = TcpListener::bind(settings.listen.operators)
            .await
            .context("field `listen.operators`")?;
        let peer_listener =
            Listener::bind(settings.listen.peers, &tls).context("field `listen.peers`")?;
        let member = Member {
            process: settings.name.clone(),
            incarnation: new_incarnation(),
            role,
            zone: settings.zone.clone(),
            address: peer_listener.address()?,
            leaving: false,
        };
        let recorder = Recorder::new(settings.name.clone());
        let follower = Follower::new(recorder.clone());
        let registry = Registry::new();
        follower.join_election(&member);
        follower.register(&registry)?;
        Ok(Self {
            settings,
            member,
            recorder,
            follower,
            shutdown: shutdown_on_signal()?,
            registry,
            members: Arc::default(),
            tls,
            peer_listener,
            operator_listener,
        })
    }
}

/// # Components
impl Node {
    /// Creates the source of the process's heartbeats.
    #[must_use]
    pub fn local(&self) -> Local {
        Local::new(
            self.member.clone(),
            self.follower.clone(),
            self.recorder.clone(),
        )
    }

    /// Creates an empty set of links that reports its events to an observer.
    #[must_use]
    pub fn links(&self, local: &Local, observer: Arc<dyn Observer>) -> Links {
        let (tls, follower) = (self.tls.clone(), self.follower.clone());
        Links::new(
            tls,
            local.clone(),
            follower,
            observer,
            self.settings.heartbeat,
        )
    }

    /// Starts the servers for peers and operators and the configuration replication, and prints the
    /// addresses that the process listens on.
    ///
    /// `client_address` is the address of the HTTP server for clients, which entries start
    /// themselves.
    ///
    /// # Errors
    ///
    /// Returns an error if the address of the operators' socket cannot be read.
    pub fn start(
        self,
        local: &Local,
        handlers: Handlers,
        client_address: Option<SocketAddr>,
    ) -> anyhow::Result<()> {
        let addresses = Addresses {
            callers: client_address,
            peers: self.member.address,
            operators: self.operator_listener.local_addr()?,
        };
        let (follower, members) = (self.follower.clone(), self.members.clone());
        let overlay = Overlay::new(
            local.clone(),
            follower.clone(),
            members.clone(),
            self.settings.peers.clone(),
        );
        let mut handler = Handler::new(
            local.clone(),
            follower.clone(),
            self.recorder.clone(),
            members,
        );
        if let Some(orders) = handlers.orders {
            handler = handler.orders(orders);
        }
        let admin = Admin::new(
            self.settings.name,
            follower.clone(),
            self.recorder,
            self.registry,
            self.shutdown,
            handlers.parts,
        );
        let has_peers = !self.settings.peers.is_empty();
        tokio::spawn(follower.run(self.settings.platform, has_peers));
        tokio::spawn(overlay.run(self.tls, self.settings.heartbeat));
        tokio::spawn(listen::serve(
            self.peer_listener,
            Arc::new(handler),
            handlers.work,
        ));
        tokio::spawn(admin.run(self.operator_listener));
        addresses.print();
        Ok(())
    }
}
