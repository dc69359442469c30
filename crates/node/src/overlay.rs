use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use peer::{Candidate, Members, Neighbours};
use tokio::time::{self, Instant};
use wire::{Heartbeat, Member, Tls};

use crate::{Follower, Links, Local, Observer};

/// Interval at which the set of linked neighbours is updated.
const UPDATE_INTERVAL: Duration = Duration::from_millis(500);

/// Keeps links to a few peers, which replicate the configuration log and exchange the known members.
///
/// Lock order: `neighbours` is the only lock and is never held across an await or into [`Members`].
pub struct Overlay {
    follower: Follower,
    local: Local,
    members: Arc<Members>,
    /// Addresses from the settings.
    peers: Vec<SocketAddr>,
    neighbours: Mutex<Neighbours>,
}

impl Overlay {
    /// Creates an overlay without links; `peers` are the addresses from the settings.
    #[must_use]
    pub fn new(
        local: Local,
        follower: Follower,
        members: Arc<Members>,
        peers: Vec<SocketAddr>,
    ) -> Arc<Self> {
        let member = local.member();
        let neighbours = Neighbours::new(member.process.clone(), member.zone.clone());
        Arc::new(Self {
            follower,
            local,
            members,
            peers,
            neighbours: Mutex::new(neighbours),
        })
    }

    /// Keeps the links up to date; never returns.
    pub async fn run(self: Arc<Self>, tls: Tls, heartbeat_interval: Duration) {
        let (local, follower) = (self.local.clone(), self.follower.clone());
        let links = Links::new(tls, local, follower, self.clone(), heartbeat_interval);
        let mut ticks = time::interval(UPDATE_INTERVAL);
        loop {
            ticks.tick().await;
            links.set_addresses(&self.neighbours());
        }
    }

    /// Returns the addresses of the current neighbours.
    fn neighbours(&self) -> Vec<SocketAddr> {
        let candidates = self.candidates();
        let neighbours = self.neighbours.lock();
        let addresses = neighbours.map(|mut n| n.tick(candidates, Instant::now()));
        addresses.unwrap_or_default()
    }

    /// Lists the other processes known from the settings, the configuration and the peers.
    fn candidates(&self) -> Vec<Candidate> {
        let known = self.members.list().into_iter().filter(|m| !m.leaving);
        let mut all: HashMap<_, _> = self.peers.iter().map(|a| (*a, None)).collect();
        if let Some(document) = self.follower.current().document {
            let endpoints = document.endpoints.values();
            all.extend(endpoints.map(|e| (e.agent, Some(e.zone.clone()))));
        }
        all.extend(known.map(|m| (m.address, Some(m.zone))));
        all.remove(&self.local.member().address);
        all.into_iter()
            .map(|(address, zone)| Candidate { address, zone })
            .collect()
    }
}

impl Observer for Overlay {
    fn on_heartbeat(&self, address: SocketAddr, heartbeat: &Heartbeat) {
        self.members.record_heartbeat(heartbeat);
        if let Ok(mut neighbours) = self.neighbours.lock() {
            neighbours.record_heartbeat(address, Instant::now());
        }
    }

    fn on_disconnect(&self, address: SocketAddr) {
        self.members.mark_unreachable(address);
    }

    fn on_members(&self, members: Vec<Member>) {
        self.members.merge(members);
    }
}
