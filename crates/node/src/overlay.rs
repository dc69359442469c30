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

/// Time between two looks at which links are wanted.
const TICK: Duration = Duration::from_millis(500);

/// Keeps a few links to peers, over which versions spread and processes find each other.
///
/// Lock order: `neighbours` is the only lock and is never held across an await or into [`Members`].
pub struct Overlay {
    follow: Follower,
    own: Local,
    members: Arc<Members>,
    peers: Vec<SocketAddr>,
    neighbours: Mutex<Neighbours>,
}

impl Overlay {
    /// Creates the links of a process; `peers` are the addresses of its settings.
    #[must_use]
    pub fn new(
        own: Local,
        follow: Follower,
        members: Arc<Members>,
        peers: Vec<SocketAddr>,
    ) -> Arc<Self> {
        let member = own.member();
        let neighbours = Neighbours::new(member.process.clone(), member.zone.clone());
        Arc::new(Self {
            follow,
            own,
            members,
            peers,
            neighbours: Mutex::new(neighbours),
        })
    }

    /// Keeps the links for ever.
    pub async fn run(self: Arc<Self>, tls: Tls, heartbeat: Duration) {
        let (own, follow) = (self.own.clone(), self.follow.clone());
        let links = Links::new(tls, own, follow, self.clone(), heartbeat);
        let mut ticks = time::interval(TICK);
        loop {
            ticks.tick().await;
            links.set_addresses(&self.wanted());
        }
    }

    fn wanted(&self) -> Vec<SocketAddr> {
        let candidates = self.candidates();
        let neighbours = self.neighbours.lock();
        let wanted = neighbours.map(|mut n| n.tick(candidates, Instant::now()));
        wanted.unwrap_or_default()
    }

    /// Lists the processes of the settings, of the document and of the peers' word.
    fn candidates(&self) -> Vec<Candidate> {
        let known = self.members.list().into_iter().filter(|m| !m.leaving);
        let mut all: HashMap<_, _> = self.peers.iter().map(|a| (*a, None)).collect();
        if let Some(document) = self.follow.current().document {
            let endpoints = document.endpoints.values();
            all.extend(endpoints.map(|e| (e.agent, Some(e.zone.clone()))));
        }
        all.extend(known.map(|m| (m.address, Some(m.zone))));
        all.remove(&self.own.member().address);
        all.into_iter()
            .map(|(address, zone)| Candidate { address, zone })
            .collect()
    }
}

impl Observer for Overlay {
    fn on_heartbeat(&self, address: SocketAddr, beat: &Heartbeat) {
        self.members.record_heartbeat(beat);
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
