//! Limit of the retries that all entries together send.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use conf::id;
use tokio::time::Instant;

use crate::window;

/// Factor by which the window over which retries are counted is longer than the fleet's: retries sent
/// within one window may arrive within a shorter one.
const RETRY_WINDOW_FACTOR: f64 = 1.1;
/// Part of the fixed allowance that is kept for processes in their first window.
const STARTUP_RESERVE: f64 = 0.25;
/// Retries of the fixed allowance that a process may send in its first window.
///
/// The reserve holds as many for each entry of a fleet: the platform allows at least four for each.
const STARTUP_RETRIES: f64 = 1.0;

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
    totals: Totals,
}

/// Use of the budget of one service, at the time of a decision.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Balance {
    /// Retries that count against the budget, without the one that is decided on.
    pub retries: usize,
    /// Requests that earn retries.
    pub requests: usize,
    /// Retries that are allowed in all.
    pub allowed: f64,
}

/// Decisions since the start of the process.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Totals {
    /// Retries that were sent.
    pub granted: u64,
    /// Retries for which the budget had nothing left.
    pub refused: u64,
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
            totals: Totals::default(),
        }
    }

    /// Records the first attempt of a request, which earns `ratio` retries.
    pub fn record_request(&mut self, service: &id::Service, now: Instant) {
        let usage = self.services.entry(service.clone()).or_default();
        usage.requests.push_back(now);
        window::remove_expired(&mut usage.requests, self.window, now);
    }

    /// Spends one retry of this entry, one of `entries`; returns the balance before it.
    ///
    /// In its first window a process gets a retry of the reserve in place of its part of the fixed
    /// allowance: it may have used that part before a restart, and may not have heard of all entries.
    ///
    /// # Errors
    ///
    /// Returns the balance if no retry is left.
    pub fn try_retry(
        &mut self,
        service: &id::Service,
        entries: usize,
        now: Instant,
    ) -> Result<Balance, Balance> {
        let usage = self.services.entry(service.clone()).or_default();
        window::remove_expired(&mut usage.requests, self.window, now);
        let retry_window = self.window.mul_f64(RETRY_WINDOW_FACTOR);
        window::remove_expired(&mut usage.retries, retry_window, now);
        let is_first_window_over = now.duration_since(self.started) >= self.window;
        let allowance = if is_first_window_over {
            self.allowance * (1.0 - STARTUP_RESERVE) / entries.max(1) as f64
        } else {
            STARTUP_RETRIES.min(self.allowance * STARTUP_RESERVE)
        };
        let balance = Balance {
            retries: usage.retries.len(),
            requests: usage.requests.len(),
            allowed: self.ratio * usage.requests.len() as f64 + allowance,
        };
        if balance.retries as f64 + 1.0 > balance.allowed {
            self.totals.refused += 1;
            return Err(balance);
        }
        usage.retries.push_back(now);
        self.totals.granted += 1;
        Ok(balance)
    }

    /// Returns how many retries were decided on since the start of the process.
    #[must_use]
    pub const fn totals(&self) -> Totals {
        self.totals
    }
}
