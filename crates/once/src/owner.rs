use std::time::Duration;

use conf::{Document, id};
use tokio::time::Instant;
use wire::Key;
use xxhash_rust::xxh3::Xxh3;

/// Past sets of endpoints that are remembered at most.
const ERAS: usize = 32;

/// Returns the endpoint that owns a caller's own key: the one with the highest hash among all
/// published endpoints of the service, whether they live or not.
#[must_use]
pub fn owner<'a>(
    endpoints: impl IntoIterator<Item = &'a id::Endpoint>,
    key: &Key,
) -> Option<&'a id::Endpoint> {
    endpoints.into_iter().max_by_key(|name| weight(name, key))
}

fn weight(endpoint: &id::Endpoint, key: &Key) -> u64 {
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

/// Says how an agent stands to a caller's own key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ownership {
    /// The key belongs to another endpoint.
    Other,
    /// The key is the agent's, but may have been used elsewhere or in an earlier life.
    Unsettled,
    /// The key has been the agent's for as long as callers may repeat it.
    Settled,
}

/// Remembers which endpoints shared the callers' own keys, and until when.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Owners {
    endpoint: id::Endpoint,
    since: Instant,
    now: Vec<id::Endpoint>,
    past: Vec<(Instant, Vec<id::Endpoint>)>,
}

impl Owners {
    /// Creates the memory of an agent that has just started and knows no configuration.
    #[must_use]
    pub const fn new(endpoint: id::Endpoint, born: Instant) -> Self {
        Self {
            endpoint,
            since: born,
            now: Vec::new(),
            past: Vec::new(),
        }
    }

    /// Takes in a configuration; sets that ended before `oldest` are forgotten.
    pub fn configure(&mut self, document: &Document, oldest: Option<Instant>, now: Instant) {
        let Some(own) = document.endpoints.get(&self.endpoint) else {
            return self.change(Vec::new(), oldest, now);
        };
        let same = document
            .endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.service == own.service);
        let set = same.map(|(name, _)| name.clone()).collect();
        self.change(set, oldest, now);
    }

    fn change(&mut self, set: Vec<id::Endpoint>, oldest: Option<Instant>, now: Instant) {
        if set == self.now {
            return;
        }
        let old = std::mem::replace(&mut self.now, set);
        if old.is_empty() {
            self.since = now;
        } else {
            self.past.push((now, old));
        }
        self.past
            .retain(|(end, _)| oldest.is_none_or(|oldest| *end > oldest));
        if self.past.len() > ERAS {
            let (end, _) = self.past.remove(0);
            self.since = self.since.max(end);
        }
    }

    /// Forgets that the agent knew anything before `since`.
    pub fn forget_before(&mut self, since: Instant) {
        self.since = self.since.max(since);
    }

    /// Says how the agent stands to a key, which it must have owned for `settle`.
    #[must_use]
    pub fn ownership(&self, key: &Key, settle: Duration, now: Instant) -> Ownership {
        if !self.owns(&self.now, key) {
            return Ownership::Other;
        }
        let young = now.saturating_duration_since(self.since) < settle;
        let moved = self.past.iter().any(|(end, set)| {
            let recent = now.saturating_duration_since(*end) < settle;
            recent && !self.owns(set, key)
        });
        if young || moved {
            Ownership::Unsettled
        } else {
            Ownership::Settled
        }
    }

    fn owns(&self, set: &[id::Endpoint], key: &Key) -> bool {
        owner(set, key) == Some(&self.endpoint)
    }
}
