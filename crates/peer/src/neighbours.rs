use std::{collections::HashMap, net::SocketAddr, time::Duration};

use conf::id;
use tokio::time::Instant;

use crate::{Candidate, choose};

/// Time without a heartbeat after which a chosen address counts as unreachable.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for which an unreachable address is not chosen again.
const EXCLUSION_TIME: Duration = Duration::from_secs(10);

/// Selection of the few processes to keep links to, in which unreachable ones are replaced.
#[derive(Clone, Debug)]
pub struct Neighbours {
    process: id::Process,
    zone: id::Zone,
    /// Chosen addresses, with the time of the last heartbeat or else of the choice.
    chosen: HashMap<SocketAddr, Instant>,
    /// Unreachable addresses, with the end of their exclusion.
    excluded: HashMap<SocketAddr, Instant>,
}

impl Neighbours {
    /// Creates an empty selection for a process in an availability zone.
    #[must_use]
    pub fn new(process: id::Process, zone: id::Zone) -> Self {
        Self {
            process,
            zone,
            chosen: HashMap::new(),
            excluded: HashMap::new(),
        }
    }

    /// Records a heartbeat from an address; one that is not chosen is ignored.
    pub fn record_heartbeat(&mut self, address: SocketAddr, now: Instant) {
        if let Some(last_heartbeat) = self.chosen.get_mut(&address) {
            *last_heartbeat = now;
        }
    }

    /// Excludes unreachable addresses and returns the addresses to keep links to from now on.
    pub fn tick(&mut self, mut candidates: Vec<Candidate>, now: Instant) -> Vec<SocketAddr> {
        self.excluded.retain(|_, until| now < *until);
        for (address, last_heartbeat) in &self.chosen {
            if now.duration_since(*last_heartbeat) >= HEARTBEAT_TIMEOUT {
                self.excluded.insert(*address, now + EXCLUSION_TIME);
            }
        }
        candidates.retain(|c| !self.excluded.contains_key(&c.address));
        let chosen = choose(&self.process, &self.zone, &candidates);
        self.chosen.retain(|address, _| chosen.contains(address));
        for address in &chosen {
            self.chosen.entry(*address).or_insert(now);
        }
        chosen
    }
}
