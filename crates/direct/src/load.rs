use std::{collections::HashMap, time::Duration};

use conf::id;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Time without any progress of this entry's requests at an endpoint after which it counts as silent.
///
/// Engines show progress with each pass, several times in this span even when they are slow; callers
/// leave a stream without an event after two seconds.
const SILENT: Duration = Duration::from_millis(700);
/// Age at which another entry's figures no longer count.
const STALE: Duration = Duration::from_secs(2);

/// Work of one entry at one endpoint.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// Requests in flight.
    pub requests: u32,
    /// Prompt tokens of requests whose answer has not begun.
    #[serde(rename = "unread")]
    pub unread: u32,
}

impl Load {
    const fn plus(self, other: Self) -> Self {
        Self {
            requests: self.requests + other.requests,
            unread: self.unread + other.unread,
        }
    }
}

/// Adds up the work that all entries have at each endpoint.
#[derive(Clone, Debug, Default)]
pub struct Loads {
    own: HashMap<id::Endpoint, Load>,
    /// When this entry's requests at an endpoint last made progress.
    progress: HashMap<id::Endpoint, Instant>,
    others: HashMap<id::Process, (Instant, HashMap<id::Endpoint, Load>)>,
}

impl Loads {
    /// Returns the work at an endpoint, as far as it is known.
    #[must_use]
    pub fn at(&self, endpoint: &str, now: Instant) -> Load {
        let own = self.own.get(endpoint).copied().unwrap_or_default();
        let fresh = self
            .others
            .values()
            .filter(|(at, _)| now.duration_since(*at) < STALE);
        fresh
            .filter_map(|(_, loads)| loads.get(endpoint))
            .fold(own, |sum, load| sum.plus(*load))
    }

    /// Lists this entry's own work, for the others.
    #[must_use]
    pub fn own(&self) -> Vec<(id::Endpoint, Load)> {
        let busy = self
            .own
            .iter()
            .filter(|(_, load)| **load != Load::default());
        busy.map(|(endpoint, load)| (endpoint.clone(), *load))
            .collect()
    }

    /// Notes a request that is sent with so many prompt tokens.
    pub fn sent(&mut self, endpoint: &id::Endpoint, prompt: u32, now: Instant) {
        let load = self.own.entry(endpoint.clone()).or_default();
        if load.requests == 0 {
            self.progress.insert(endpoint.clone(), now);
        }
        load.requests += 1;
        load.unread += prompt;
    }

    /// Notes that an answer has come a step further.
    pub fn progressed(&mut self, endpoint: &str, now: Instant) {
        if let Some(at) = self.progress.get_mut(endpoint) {
            *at = now;
        }
    }

    /// Returns whether requests are in flight at an endpoint and none has made progress for long.
    ///
    /// A lock-step group that stands still, as at a held pass or a frozen rank, looks so.
    #[must_use]
    pub fn is_silent(&self, endpoint: &str, now: Instant) -> bool {
        let waits = self.own.get(endpoint).is_some_and(|load| load.requests > 0);
        let at = self.progress.get(endpoint);
        waits && at.is_some_and(|at| now.duration_since(*at) > SILENT)
    }

    /// Notes that an answer has begun, so that the prompt was read.
    pub fn began(&mut self, endpoint: &str, prompt: u32) {
        if let Some(load) = self.own.get_mut(endpoint) {
            load.unread = load.unread.saturating_sub(prompt);
        }
    }

    /// Notes that a request has ended.
    pub fn ended(&mut self, endpoint: &str) {
        if let Some(load) = self.own.get_mut(endpoint) {
            load.requests = load.requests.saturating_sub(1);
        }
    }

    /// Takes in what another entry tells of its work.
    pub fn hear(&mut self, entry: &id::Process, loads: Vec<(id::Endpoint, Load)>, now: Instant) {
        self.others
            .retain(|_, (at, _)| now.duration_since(*at) < STALE);
        self.others
            .insert(entry.clone(), (now, loads.into_iter().collect()));
    }

    /// Forgets endpoints that are no longer known and idle.
    pub fn retain(&mut self, known: impl Fn(&id::Endpoint) -> bool) {
        self.own
            .retain(|endpoint, load| known(endpoint) || *load != Load::default());
        self.progress
            .retain(|endpoint, _| self.own.contains_key(endpoint));
    }
}
