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
            requests: self.requests.saturating_add(other.requests),
            pending_tokens: self.pending_tokens.saturating_add(other.pending_tokens),
        }
    }

    const fn minus(self, other: Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(other.requests),
            pending_tokens: self.pending_tokens.saturating_sub(other.pending_tokens),
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
    reports: HashMap<id::Process, Report>,
    /// Sum of the reports for each endpoint, so that a choice does not go through all reports.
    others: HashMap<id::Endpoint, Load>,
    /// Time at which the oldest report came in, or an earlier one.
    oldest_report: Option<Instant>,
}

/// Time at which the load report of an entry came in, and its load on each endpoint.
type Report = (Instant, Vec<(id::Endpoint, Load)>);

impl Loads {
    /// Returns the load on an endpoint from this entry and the recent reports of the others.
    #[must_use]
    pub fn total(&mut self, endpoint: &str, now: Instant) -> Load {
        self.expire_reports(now);
        let get = |loads: &HashMap<_, Load>| loads.get(endpoint).copied().unwrap_or_default();
        get(&self.local).plus(get(&self.others))
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
        self.expire_reports(now);
        self.remove_report(entry);
        for (endpoint, load) in &loads {
            let sum = self.others.entry(endpoint.clone()).or_default();
            *sum = sum.plus(*load);
        }
        self.oldest_report.get_or_insert(now);
        self.reports.insert(entry.clone(), (now, loads));
    }

    /// Removes the reports that are too old.
    fn expire_reports(&mut self, now: Instant) {
        let is_old = |at: Instant| now.duration_since(at) >= REPORT_TTL;
        if !self.oldest_report.is_some_and(is_old) {
            return;
        }
        let old = self.reports.iter().filter(|(_, (at, _))| is_old(*at));
        let old: Vec<id::Process> = old.map(|(entry, _)| entry.clone()).collect();
        for entry in old {
            self.remove_report(&entry);
        }
        self.oldest_report = self.reports.values().map(|(at, _)| *at).min();
    }

    fn remove_report(&mut self, entry: &str) {
        let Some((_, loads)) = self.reports.remove(entry) else {
            return;
        };
        for (endpoint, load) in loads {
            if let Some(sum) = self.others.get_mut(&endpoint) {
                *sum = sum.minus(load);
                if *sum == Load::default() {
                    self.others.remove(&endpoint);
                }
            }
        }
    }

    /// Removes the endpoints that are no longer known and have no load from this entry.
    pub fn retain(&mut self, known: impl Fn(&id::Endpoint) -> bool) {
        self.local
            .retain(|endpoint, load| known(endpoint) || *load != Load::default());
        self.last_progress
            .retain(|endpoint, _| self.local.contains_key(endpoint));
    }
}
