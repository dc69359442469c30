use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use conf::id;
use tokio::time::Instant;

use crate::window::{self, STARTUP_ENTRIES};

/// Limits the retries to each service over a sliding window.
///
/// Each entry may send a fixed ratio of its own requests as retries, plus an equal part of the
/// fleet's fixed allowance, so that all entries together stay within the fleet's budget.
#[derive(Clone, Debug)]
pub struct Budget {
    ratio: f64,
    allowance: f64,
    window: Duration,
    /// Start of this process, which does not know how many retries it sent before a restart.
    started: Instant,
    services: HashMap<id::Service, Usage>,
}

#[derive(Clone, Debug, Default)]
struct Usage {
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl Budget {
    /// Creates a budget of `ratio` retries for each request, plus `allowance` retries for all
    /// entries together, in each `window`.
    #[must_use]
    pub fn new(ratio: f64, allowance: f64, window: Duration, started: Instant) -> Self {
        Self {
            ratio,
            allowance,
            window,
            started,
            services: HashMap::new(),
        }
    }

    /// Records the first attempt of a request, which earns `ratio` retries.
    pub fn record_request(&mut self, service: &id::Service, now: Instant) {
        let usage = self.services.entry(service.clone()).or_default();
        usage.requests.push_back(now);
        window::remove_expired(&mut usage.requests, self.window, now);
    }

    /// Spends one retry of this entry, one of `entries`; returns false if none is left.
    ///
    /// In its first window a process gets only a small part of the fixed allowance: it may have used
    /// its part before a restart, and may not have heard of all entries yet.
    pub fn try_retry(&mut self, service: &id::Service, entries: usize, now: Instant) -> bool {
        let usage = self.services.entry(service.clone()).or_default();
        window::remove_expired(&mut usage.requests, self.window, now);
        window::remove_expired(&mut usage.retries, self.window, now);
        let is_first_window_over = now.duration_since(self.started) >= self.window;
        let entries = if is_first_window_over {
            entries
        } else {
            entries.max(STARTUP_ENTRIES)
        };
        let allowed =
            self.ratio * usage.requests.len() as f64 + self.allowance / entries.max(1) as f64;
        if usage.retries.len() as f64 + 1.0 > allowed {
            return false;
        }
        usage.retries.push_back(now);
        true
    }
}
