use std::{collections::HashMap, net::SocketAddr, time::Duration};

use conf::id;
use tokio::time::Instant;

use crate::{Candidate, choose};

/// Silence after which an address that a link is wanted to counts as out of reach.
const PATIENCE: Duration = Duration::from_secs(3);
/// Time for which an address out of reach is passed over.
const AVOID: Duration = Duration::from_secs(10);

/// Decides which few processes the own one keeps links to; those out of reach are replaced.
#[derive(Clone, Debug)]
pub struct Neighbours {
    process: id::Process,
    zone: id::Zone,
    wanted: HashMap<SocketAddr, Instant>,
    avoided: HashMap<SocketAddr, Instant>,
}

impl Neighbours {
    /// Creates the decision of a process.
    #[must_use]
    pub fn new(process: id::Process, zone: id::Zone) -> Self {
        Self {
            process,
            zone,
            wanted: HashMap::new(),
            avoided: HashMap::new(),
        }
    }

    /// Takes in a heartbeat from an address.
    pub fn record_heartbeat(&mut self, address: SocketAddr, now: Instant) {
        if let Some(heard) = self.wanted.get_mut(&address) {
            *heard = now;
        }
    }

    /// Returns the addresses to keep links to from now on.
    pub fn tick(&mut self, mut candidates: Vec<Candidate>, now: Instant) -> Vec<SocketAddr> {
        self.avoided.retain(|_, until| now < *until);
        for (address, heard) in &self.wanted {
            if now.duration_since(*heard) >= PATIENCE {
                self.avoided.insert(*address, now + AVOID);
            }
        }
        candidates.retain(|c| !self.avoided.contains_key(&c.address));
        let chosen = choose(&self.process, &self.zone, &candidates);
        self.wanted.retain(|address, _| chosen.contains(address));
        for address in &chosen {
            self.wanted.entry(*address).or_insert(now);
        }
        chosen
    }
}
