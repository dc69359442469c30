use std::{collections::HashMap, net::SocketAddr, time::Duration};

use tokio::time::Instant;

use crate::{Epoch, Key, Status};

/// Time for which a group is taken for broken after the last news that says so. Agents repeat the news,
/// so that a longer silence means that it may have formed again unheard.
const BROKEN_TTL: Duration = Duration::from_millis(3000);
/// Time for which a group is not used after one of its engines declined a request for a lost rank.
const DECLINE_TTL: Duration = Duration::from_millis(300);
/// Time without news after which a group's epoch may go back, as after a loss of all its servers.
const EPOCH_TTL: Duration = Duration::from_secs(10);
/// Maximum number of groups.
const MAX_GROUPS: usize = 4096;

/// Groups of engines and whether they serve, from the news of agents.
///
/// News may come late and in any order: within an epoch a group only goes from open to broken, and an
/// earlier epoch never replaces a later one.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    groups: HashMap<Key, Record>,
    /// Group of each engine.
    by_engine: HashMap<SocketAddr, Key>,
}

#[derive(Clone, Debug)]
struct Record {
    epoch: Epoch,
    open: bool,
    engines: Vec<SocketAddr>,
    /// Time of the last news of this state.
    heard_at: Instant,
    /// Time until which declined requests keep the group from being used.
    declined_until: Option<Instant>,
}

impl Directory {
    /// Records news of a group; returns whether they changed what is known.
    pub fn record(&mut self, status: &Status, now: Instant) -> bool {
        let key = (status.service.clone(), status.group.clone());
        let Some(record) = self.groups.get_mut(&key) else {
            if self.groups.len() >= MAX_GROUPS {
                return false;
            }
            let record = Record {
                epoch: status.epoch,
                open: status.open,
                engines: Vec::new(),
                heard_at: now,
                declined_until: None,
            };
            self.groups.insert(key.clone(), record);
            self.set_engines(&key, &status.engines);
            return true;
        };
        let is_silent = now.duration_since(record.heard_at) >= EPOCH_TTL;
        let is_obsolete = status.epoch < record.epoch && !is_silent
            || status.epoch == record.epoch && status.open && !record.open;
        if is_obsolete {
            return false;
        }
        let is_new = (status.epoch, status.open) != (record.epoch, record.open);
        if is_new && status.open {
            record.declined_until = None;
        }
        (record.epoch, record.open, record.heard_at) = (status.epoch, status.open, now);
        let moved = !status.engines.is_empty() && record.engines != status.engines;
        if moved {
            self.set_engines(&key, &status.engines);
        }
        is_new || moved
    }

    fn set_engines(&mut self, key: &Key, engines: &[SocketAddr]) {
        let Some(record) = self.groups.get_mut(key) else {
            return;
        };
        for engine in &record.engines {
            if self.by_engine.get(engine) == Some(key) {
                self.by_engine.remove(engine);
            }
        }
        record.engines = engines.to_vec();
        for engine in engines {
            self.by_engine.insert(*engine, key.clone());
        }
    }

    /// Records that an engine declined a request since a rank of its group is lost; returns false if the
    /// group is not known.
    pub fn record_declined(&mut self, engine: SocketAddr, now: Instant) -> bool {
        let key = self.by_engine.get(&engine);
        let Some(record) = key.and_then(|key| self.groups.get_mut(key)) else {
            return false;
        };
        record.declined_until = Some(now + DECLINE_TTL);
        true
    }

    /// Returns whether the group of an engine is broken, so that the engine declines all requests.
    #[must_use]
    pub fn is_broken(&self, engine: SocketAddr, now: Instant) -> bool {
        let key = self.by_engine.get(&engine);
        let Some(record) = key.and_then(|key| self.groups.get(key)) else {
            return false;
        };
        let is_told = !record.open && now.duration_since(record.heard_at) < BROKEN_TTL;
        is_told || record.declined_until.is_some_and(|until| until > now)
    }

    /// Returns the service and name of an engine's group.
    #[must_use]
    pub fn group(&self, engine: SocketAddr) -> Option<&Key> {
        self.by_engine.get(&engine)
    }

    /// Lists the state of all groups, for an entry that asks.
    #[must_use]
    pub fn statuses(&self) -> Vec<Status> {
        let groups = self.groups.iter();
        groups
            .map(|((service, group), record)| Status {
                service: service.clone(),
                group: group.clone(),
                epoch: record.epoch,
                open: record.open,
                engines: record.engines.clone(),
            })
            .collect()
    }

    /// Returns whether no group is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }
}
