//! Sends the state of this agent's group to entries, and remembers for them what they refuse.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use conf::id;
use group::{Datagram, Memory, Socket, Status};
use rand::seq::IteratorRandom as _;
use tokio::time::{self, Instant};

use crate::{Group, peers::Peers};

/// Interval at which changes of the group are looked for.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which the state is sent though it has not changed.
const REPEAT_INTERVAL: Duration = Duration::from_millis(1500);
/// Interval at which a broken state is sent again; entries forget it after a few seconds.
const REPEAT_BROKEN_INTERVAL: Duration = Duration::from_millis(800);
/// Number of entries to which a change is sent; they pass it on.
const CHANGE_FANOUT: usize = 4;
/// Number of entries to which the state is sent though it has not changed.
const REPEAT_FANOUT: usize = 2;
/// Time for which an entry is preferred after it answered.
const HEARD_TTL: Duration = Duration::from_secs(6);
/// Maximum number of known entries.
const MAX_KNOWN: usize = 64;

/// Sends the state of the group of the agent's own engine to entries, and learns from their answers
/// where others are and what they refuse, which it tells entries that start.
///
/// Lock order: `group`, `entries` and `memory` are each taken alone and never held across an await.
pub(crate) struct Announcer {
    socket: Socket,
    service: id::Service,
    peers: Arc<Peers>,
    group: Mutex<Option<Group>>,
    /// Known entries and when each answered last.
    entries: Mutex<HashMap<SocketAddr, Option<Instant>>>,
    /// What entries refuse.
    memory: Mutex<Memory>,
}

impl Announcer {
    /// Creates an announcer that knows the entries at `seeds`, whose ports are replaced by that of the
    /// socket.
    pub(crate) fn new(
        socket: Socket,
        service: id::Service,
        seeds: &[SocketAddr],
        peers: Arc<Peers>,
        memory: Memory,
    ) -> std::io::Result<Arc<Self>> {
        let port = socket.address()?.port();
        let entries = seeds
            .iter()
            .map(|seed| (SocketAddr::new(seed.ip(), port), None));
        Ok(Arc::new(Self {
            socket,
            service,
            peers,
            group: Mutex::default(),
            entries: Mutex::new(entries.collect()),
            memory: Mutex::new(memory),
        }))
    }

    /// Records the group that the agent's own engine reports.
    pub(crate) fn observe(&self, group: &Group) {
        let mut known = self.group.lock().unwrap_or_else(PoisonError::into_inner);
        if known.as_ref() != Some(group) {
            *known = Some(group.clone());
        }
    }

    /// Sends the state until the process ends.
    pub(crate) async fn run(self: Arc<Self>) {
        tokio::spawn(self.clone().receive());
        let mut ticks = time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        let mut sent: Option<(Status, Instant)> = None;
        loop {
            ticks.tick().await;
            let Some(status) = self.status() else {
                continue;
            };
            let now = Instant::now();
            let repeat = if status.open {
                REPEAT_INTERVAL
            } else {
                REPEAT_BROKEN_INTERVAL
            };
            let fanout = match &sent {
                Some((last, at)) if *last == status && now.duration_since(*at) < repeat => continue,
                Some((last, _)) if *last == status => REPEAT_FANOUT,
                _ => {
                    log::info!(group:% = status.group, epoch = status.epoch, open = status.open, engines = status.engines.len(); "group is announced");
                    CHANGE_FANOUT
                }
            };
            let targets = self.targets(fanout, now);
            self.socket
                .send(&Datagram::Status(status.clone()), &targets)
                .await;
            sent = Some((status, now));
        }
    }

    fn status(&self) -> Option<Status> {
        let group = self
            .group
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()?;
        Some(Status {
            engines: self.peers.engines(&group),
            service: self.service.clone(),
            group: group.name,
            epoch: group.epoch,
            open: group.open,
        })
    }

    /// Chooses random entries that answered lately, and one of the others.
    fn targets(&self, fanout: usize, now: Instant) -> Vec<SocketAddr> {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let is_live =
            |heard: &Option<Instant>| heard.is_some_and(|at| now.duration_since(at) < HEARD_TTL);
        let random = &mut rand::rng();
        let live = entries.iter().filter(|(_, heard)| is_live(heard));
        let mut targets = live.map(|(entry, _)| *entry).sample(random, fanout);
        let others = entries.iter().filter(|(_, heard)| !is_live(heard));
        targets.extend(others.map(|(entry, _)| *entry).choose(random));
        targets
    }

    async fn receive(self: Arc<Self>) {
        loop {
            let (datagram, from) = self.socket.receive().await;
            self.handle(datagram, from).await;
        }
    }

    async fn handle(&self, datagram: Datagram, from: SocketAddr) {
        let now = Instant::now();
        match datagram {
            Datagram::Entries(others) => {
                self.record_entries(from, others);
                self.memory().record_contact(now);
            }
            Datagram::Refusals(refusals) => self.memory().record(&refusals, now),
            Datagram::AskRefusals => {
                let refusals = self.memory().refusals(now);
                let (count, memory) = (refusals.refused.len(), refusals.memory.as_secs());
                log::info!(entry:% = from, refused = count, memory_s = memory; "refusals are told to an entry");
                self.socket
                    .send(&Datagram::Refusals(refusals), &[from])
                    .await;
            }
            Datagram::Ask | Datagram::Status(_) => {
                log::debug!("unexpected datagram from {from}");
            }
        }
    }

    fn memory(&self) -> MutexGuard<'_, Memory> {
        // Records are replaced whole, so a panic leaves a valid table.
        self.memory.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record_entries(&self, from: SocketAddr, others: Vec<SocketAddr>) {
        let now = Instant::now();
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.insert(from, Some(now));
        for other in others {
            if entries.len() < MAX_KNOWN {
                entries.entry(other).or_insert(None);
            }
        }
        if entries.len() >= MAX_KNOWN {
            entries
                .retain(|_, heard| heard.is_some_and(|at| now.duration_since(at) < HEARD_TTL * 10));
        }
    }
}
