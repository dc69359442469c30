use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use conf::id;
use tokio::time::Instant;

use crate::share::{self, UNKNOWN_ENTRIES};

/// Limits sends beyond the first of each request, per service, over a sliding window.
///
/// All entries together stay within the fleet's budget: each has its own requests' ratio and an
/// equal part of the fixed allowance.
#[derive(Clone, Debug)]
pub struct Budget {
    ratio: f64,
    extra: f64,
    window: Duration,
    /// When the process started; it does not know what its earlier life has used.
    started: Instant,
    services: HashMap<id::Service, Usage>,
}

#[derive(Clone, Debug, Default)]
struct Usage {
    first: VecDeque<Instant>,
    again: VecDeque<Instant>,
}

impl Budget {
    /// Creates a budget of `ratio` repeats for each request plus `extra` in each `window`.
    #[must_use]
    pub fn new(ratio: f64, extra: f64, window: Duration, started: Instant) -> Self {
        Self {
            ratio,
            extra,
            window,
            started,
            services: HashMap::new(),
        }
    }

    /// Notes the first send of a request.
    pub fn first(&mut self, service: &id::Service, now: Instant) {
        let usage = self.services.entry(service.clone()).or_default();
        usage.first.push_back(now);
        share::forget(&mut usage.first, self.window, now);
    }

    /// Takes one repeat, if one of `entries` entries still may.
    ///
    /// In its first window a process has only a small part of the fixed allowance: its earlier life may
    /// have used its own, and it may not have heard of all entries yet.
    pub fn again(&mut self, service: &id::Service, entries: usize, now: Instant) -> bool {
        let usage = self.services.entry(service.clone()).or_default();
        share::forget(&mut usage.first, self.window, now);
        share::forget(&mut usage.again, self.window, now);
        let settled = now.duration_since(self.started) >= self.window;
        let entries = if settled {
            entries
        } else {
            entries.max(UNKNOWN_ENTRIES)
        };
        let allowed = self.ratio * usage.first.len() as f64 + self.extra / entries.max(1) as f64;
        if usage.again.len() as f64 + 1.0 > allowed {
            return false;
        }
        usage.again.push_back(now);
        true
    }
}
