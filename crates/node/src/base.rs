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
    Work, incarnation, listen, shutdown_on_signal,
};

/// Holds what a process of either role has, from its settings to its bound addresses.
pub struct Node {
    /// Settings of the process.
    pub settings: Settings,
    /// What the process says about itself.
    pub member: Member,
    /// Events of the process.
    pub recorder: Recorder,
    /// Configuration in force.
    pub follower: Follower,
    /// Orderly end of the process.
    pub shutdown: Shutdown,
    /// Metrics of the process.
    pub registry: Registry,
    /// Other processes that are known.
    pub members: Arc<Members>,
    tls: Tls,
    listener: Listener,
    operators: TcpListener,
}

/// Handlers through which a role answers other processes and operators.
pub struct Handlers {
    /// Carries out orders of a group's leader.
    pub orders: Option<Arc<dyn Orders>>,
    /// Serves work that is offered.
    pub work: Option<Arc<dyn Work>>,
    /// Adds the role's parts of the status.
    pub parts: Parts,
}

/// # Construction
impl Node {
    /// Binds the addresses that each role listens on.
    ///
    /// # Errors
    ///
    /// Returns an error if a file of the identity cannot be read or an address cannot be bound.
    pub async fn bind(settings: Settings, role: Role) -> anyhow::Result<Self> {
        let tls = Tls::load(&settings.identity)?;
        let operators = TcpListener::bind(settings.listen.operators)
            .await
            .context("field `listen.operators`")?;
        let listener =
            Listener::bind(settings.listen.peers, &tls).context("field `listen.peers`")?;
        let member = Member {
            process: settings.name.clone(),
            incarnation: incarnation(),
            role,
            zone: settings.zone.clone(),
            address: listener.address()?,
            leaving: false,
        };
        let recorder = Recorder::new(settings.name.clone());
        let follower = Follower::new(recorder.clone());
        let registry = Registry::new();
        follower.take_turns(&member);
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
            listener,
            operators,
        })
    }
}

/// # Parts
impl Node {
    /// Makes the source of the process's heartbeats.
    #[must_use]
    pub fn local(&self) -> Local {
        Local::new(
            self.member.clone(),
            self.follower.clone(),
            self.recorder.clone(),
        )
    }

    /// Makes an empty set of links whose events go to an observer.
    #[must_use]
    pub fn links(&self, own: &Local, observer: Arc<dyn Observer>) -> Links {
        let (tls, follow) = (self.tls.clone(), self.follower.clone());
        Links::new(tls, own.clone(), follow, observer, self.settings.heartbeat)
    }

    /// Starts to answer processes and operators and to follow the configuration, and prints the
    /// addresses that the process listens on.
    ///
    /// # Errors
    ///
    /// Returns an error if the operators' socket is broken.
    pub fn start(
        self,
        own: &Local,
        ports: Handlers,
        callers: Option<SocketAddr>,
    ) -> anyhow::Result<()> {
        let ready = Addresses {
            callers,
            peers: self.member.address,
            operators: self.operators.local_addr()?,
        };
        let (follow, members) = (self.follower.clone(), self.members.clone());
        let overlay = Overlay::new(
            own.clone(),
            follow.clone(),
            members.clone(),
            self.settings.peers.clone(),
        );
        let mut callee = Handler::new(own.clone(), follow.clone(), self.recorder.clone(), members);
        if let Some(orders) = ports.orders {
            callee = callee.orders(orders);
        }
        let operator = Admin::new(
            self.settings.name,
            follow.clone(),
            self.recorder,
            self.registry,
            self.shutdown,
            ports.parts,
        );
        let has_peers = !self.settings.peers.is_empty();
        tokio::spawn(follow.run(self.settings.platform, has_peers));
        tokio::spawn(overlay.run(self.tls, self.settings.heartbeat));
        tokio::spawn(listen::serve(self.listener, Arc::new(callee), ports.work));
        tokio::spawn(operator.run(self.operators));
        ready.print();
        Ok(())
    }
}
