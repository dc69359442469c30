use std::time::Duration;

use conf::{Document, id};
use tokio::time::Instant;
use wire::Key;
use xxhash_rust::xxh3::Xxh3;

/// Limit on the number of earlier endpoint sets kept in the ownership history.
const MAX_PAST_SETS: usize = 32;

/// Returns the endpoint that owns a client-supplied key, by rendezvous hashing.
///
/// `endpoints` are all published endpoints of the service, reachable or not, so that a failure
/// moves no key.
#[must_use]
pub fn owner<'a>(
    endpoints: impl IntoIterator<Item = &'a id::Endpoint>,
    key: &Key,
) -> Option<&'a id::Endpoint> {
    endpoints.into_iter().max_by_key(|name| score(name, key))
}

fn score(endpoint: &id::Endpoint, key: &Key) -> u64 {
    let mut hash = Xxh3::new();
    for part in [
        endpoint.as_bytes(),
        key.team.as_bytes(),
        key.text.as_bytes(),
    ] {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.digest()
}

/// Whether an agent owns a client-supplied key, and for how long.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ownership {
    /// The key belongs to another endpoint.
    Other,
    /// The agent owns the key, but another endpoint or an earlier incarnation may have run it.
    Unsettled,
    /// The agent has owned the key for as long as clients may repeat it.
    Settled,
}

/// History of the endpoint sets over which the client-supplied keys of a service were distributed.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Owners {
    endpoint: id::Endpoint,
    /// Time from which the history is complete.
    since: Instant,
    current: Vec<id::Endpoint>,
    /// Earlier sets, each with the time at which it was replaced.
    past: Vec<(Instant, Vec<id::Endpoint>)>,
}

impl Owners {
    /// Creates the history of an agent that started at `started` and has no configuration yet.
    #[must_use]
    pub const fn new(endpoint: id::Endpoint, started: Instant) -> Self {
        Self {
            endpoint,
            since: started,
            current: Vec::new(),
            past: Vec::new(),
        }
    }

    /// Applies a configuration, and removes the sets that were replaced at `oldest` or before.
    pub fn configure(&mut self, document: &Document, oldest: Option<Instant>, now: Instant) {
        let Some(own) = document.endpoints.get(&self.endpoint) else {
            return self.replace_set(Vec::new(), oldest, now);
        };
        let same_service = document
            .endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.service == own.service);
        let set = same_service.map(|(name, _)| name.clone()).collect();
        self.replace_set(set, oldest, now);
    }

    fn replace_set(&mut self, set: Vec<id::Endpoint>, oldest: Option<Instant>, now: Instant) {
        if set == self.current {
            return;
        }
        let previous = std::mem::replace(&mut self.current, set);
        if previous.is_empty() {
            self.since = now;
        } else {
            self.past.push((now, previous));
        }
        self.past
            .retain(|(end, _)| oldest.is_none_or(|oldest| *end > oldest));
        if self.past.len() > MAX_PAST_SETS {
            let (end, _) = self.past.remove(0);
            self.since = self.since.max(end);
        }
    }

    /// Treats the history before `since` as unknown.
    pub fn forget_before(&mut self, since: Instant) {
        self.since = self.since.max(since);
    }

    /// Returns whether the agent owns a key, and whether it has done so for `settling_time`.
    #[must_use]
    pub fn ownership(&self, key: &Key, settling_time: Duration, now: Instant) -> Ownership {
        if !self.owns(&self.current, key) {
            return Ownership::Other;
        }
        let incomplete = now.saturating_duration_since(self.since) < settling_time;
        let moved = self.past.iter().any(|(end, set)| {
            let recent = now.saturating_duration_since(*end) < settling_time;
            recent && !self.owns(set, key)
        });
        if incomplete || moved {
            Ownership::Unsettled
        } else {
            Ownership::Settled
        }
    }

    fn owns(&self, set: &[id::Endpoint], key: &Key) -> bool {
        owner(set, key) == Some(&self.endpoint)
    }
}
