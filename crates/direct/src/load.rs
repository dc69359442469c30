use std::{collections::HashMap, time::Duration};

use conf::id;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Time without progress of any of this entry's requests after which an endpoint is unresponsive.
///
/// Engines show progress with each forward pass, several times in this span even when they are slow;
/// clients abandon a stream without an event after two seconds.
const PROGRESS_TIMEOUT: Duration = Duration::from_millis(700);
/// Age at which another entry's load report is ignored.
const REPORT_TTL: Duration = Duration::from_secs(2);

/// Load that one entry, or all of them, put on one endpoint.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// Requests in flight.
    pub requests: u32,
    /// Prompt tokens of the requests whose response has not started.
    #[serde(rename = "unread")]
    pub pending_tokens: u32,
}

impl Load {
    const fn plus(self, other: Self) -> Self {
        Self {
            requests: self.requests + other.requests,
            pending_tokens: self.pending_tokens + other.pending_tokens,
        }
    }
}

/// Sums the load that all entries put on each endpoint.
#[derive(Clone, Debug, Default)]
pub struct Loads {
    local: HashMap<id::Endpoint, Load>,
    /// Time at which a request of this entry last made progress at the endpoint.
    last_progress: HashMap<id::Endpoint, Instant>,
    /// Newest report of each other entry and the time at which it came in.
    reports: HashMap<id::Process, (Instant, HashMap<id::Endpoint, Load>)>,
}

impl Loads {
    /// Returns the load on an endpoint from this entry and the recent reports of the others.
    #[must_use]
    pub fn total(&self, endpoint: &str, now: Instant) -> Load {
        let local = self.local.get(endpoint).copied().unwrap_or_default();
        let recent = self
            .reports
            .values()
            .filter(|(at, _)| now.duration_since(*at) < REPORT_TTL);
        recent
            .filter_map(|(_, loads)| loads.get(endpoint))
            .fold(local, |sum, load| sum.plus(*load))
    }

    /// Returns the number of this entry's own requests at an endpoint.
    #[must_use]
    pub fn own_requests(&self, endpoint: &str) -> u32 {
        self.local.get(endpoint).map_or(0, |load| load.requests)
    }

    /// Lists this entry's own load on each endpoint that has any.
    #[must_use]
    pub fn local(&self) -> Vec<(id::Endpoint, Load)> {
        let busy = self
            .local
            .iter()
            .filter(|(_, load)| **load != Load::default());
        busy.map(|(endpoint, load)| (endpoint.clone(), *load))
            .collect()
    }

    /// Records that a request with `prompt_tokens` tokens is sent to an endpoint.
    pub fn record_sent(&mut self, endpoint: &id::Endpoint, prompt_tokens: u32, now: Instant) {
        let load = self.local.entry(endpoint.clone()).or_default();
        if load.requests == 0 {
            self.last_progress.insert(endpoint.clone(), now);
        }
        load.requests += 1;
        load.pending_tokens += prompt_tokens;
    }

    /// Records that part of a response was received from an endpoint.
    pub fn record_progress(&mut self, endpoint: &str, now: Instant) {
        if let Some(at) = self.last_progress.get_mut(endpoint) {
            *at = now;
        }
    }

    /// Returns whether requests are in flight at an endpoint and none has made progress for 700 ms.
    ///
    /// This detects a lock-step group that has stopped, such as during a blocked forward pass or with
    /// a frozen rank.
    #[must_use]
    pub fn is_unresponsive(&self, endpoint: &str, now: Instant) -> bool {
        let busy = self
            .local
            .get(endpoint)
            .is_some_and(|load| load.requests > 0);
        let at = self.last_progress.get(endpoint);
        busy && at.is_some_and(|at| now.duration_since(*at) > PROGRESS_TIMEOUT)
    }

    /// Lists the endpoints at which requests of this entry are in flight.
    pub fn busy(&self) -> impl Iterator<Item = &id::Endpoint> {
        let busy = self.local.iter().filter(|(_, load)| load.requests > 0);
        busy.map(|(endpoint, _)| endpoint)
    }

    /// Records that a response has started, so that its prompt is no longer pending.
    pub fn record_response_start(&mut self, endpoint: &str, prompt_tokens: u32) {
        if let Some(load) = self.local.get_mut(endpoint) {
            load.pending_tokens = load.pending_tokens.saturating_sub(prompt_tokens);
        }
    }

    /// Records that a request has ended.
    pub fn record_end(&mut self, endpoint: &str) {
        if let Some(load) = self.local.get_mut(endpoint) {
            load.requests = load.requests.saturating_sub(1);
        }
    }

    /// Replaces the load report of another entry.
    pub fn record_report(
        &mut self,
        entry: &id::Process,
        loads: Vec<(id::Endpoint, Load)>,
        now: Instant,
    ) {
        self.reports
            .retain(|_, (at, _)| now.duration_since(*at) < REPORT_TTL);
        self.reports
            .insert(entry.clone(), (now, loads.into_iter().collect()));
    }

    /// Removes the endpoints that are no longer known and have no load from this entry.
    pub fn retain(&mut self, known: impl Fn(&id::Endpoint) -> bool) {
        self.local
            .retain(|endpoint, load| known(endpoint) || *load != Load::default());
        self.last_progress
            .retain(|endpoint, _| self.local.contains_key(endpoint));
    }
}
