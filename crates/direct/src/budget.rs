//! Limit of the retries that all entries together send.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use conf::id;
use tokio::time::Instant;

use crate::window;

/// Part of the fixed allowance that is divided among the entries; the rest covers retries that arrive later
/// than [`DELIVERY_PART`].
const DIVIDED_PART: f64 = 0.75;
/// Largest share of an entry in the fixed allowance, however few other entries it knows.
///
/// The platform allows at least four retries for each entry.
const MAX_SHARE: f64 = 4.0 * DIVIDED_PART;
/// Part of the window in which a retry may still arrive after the entry has given it up.
const DELIVERY_PART: f64 = 0.1;

/// Limits the retries to each service over a sliding window.
///
/// The fleet's limit is a ratio of the requests of a window or of the one before it, whichever has more. Each
/// entry keeps to the mean of the two, counting its own requests only: unlike the larger one, the means of all
/// entries add up to that of the fleet, wherever the load moves. The part of the fixed allowance is earned with
/// time like the other with requests, so that it cannot be used again after a restart.
///
/// This holds for each process by itself: what a predecessor has sent was earned by its own requests and time.
#[derive(Clone, Debug)]
pub struct Budget {
    ratio: f64,
    allowance: f64,
    window: Duration,
    /// Start of this process; `None` if there was none before it, so that nothing was sent before.
    started: Option<Instant>,
    services: HashMap<id::Service, Usage>,
    totals: Totals,
}

/// Use of the budget of one service, at the time of a decision.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
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
    /// Times of the requests, in ascending order.
    requests: VecDeque<Instant>,
    /// Times by which retries that were answered or given up have arrived, in ascending order.
    arrivals: VecDeque<Instant>,
    /// Retries that may arrive at any time.
    in_flight: usize,
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
            started: Some(started),
            services: HashMap::new(),
            totals: Totals::default(),
        }
    }

    /// Allows the whole share at once, as no process ran before on the VM.
    #[must_use]
    pub const fn first_start(mut self) -> Self {
        self.started = None;
        self
    }

    /// Records a request of a client, which earns `ratio` retries whether it is sent or not.
    pub fn record_request(&mut self, service: &id::Service, now: Instant) {
        let usage = self.services.entry(service.clone()).or_default();
        usage.requests.push_back(now);
        usage.remove_expired(self.window, now);
    }

    /// Spends one retry of this entry, one of `entries`; returns the balance before it.
    ///
    /// [`Self::record_arrival`] is to be called when the retry is answered or given up.
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
        usage.remove_expired(self.window, now);
        let share = (self.allowance * DIVIDED_PART / entries.max(1) as f64).min(MAX_SHARE);
        // The retries in a window are most where it begins just before one of them arrives, or now.
        let arrivals = usage.arrivals.iter().rev().map(|at| (*at).min(now));
        let starts = std::iter::once(now).chain(arrivals);
        let balances = starts.enumerate().map(|(arrived, start)| {
            let requests = usage.requests_around(start, self.window);
            let span = now.duration_since(start) + self.window;
            let age = self.started.map(|started| now.duration_since(started));
            let part = age
                .map_or(span, |age| age.min(span))
                .div_duration_f64(self.window);
            Balance {
                retries: usage.in_flight + arrived,
                requests,
                allowed: (self.ratio * requests as f64 + share * part) / 2.0,
            }
        });
        let left = |balance: &Balance| balance.allowed - balance.retries as f64;
        let tightest = balances.min_by(|a, b| left(a).total_cmp(&left(b)));
        let Some(balance) = tightest.filter(|balance| left(balance) >= 1.0) else {
            self.totals.refused += 1;
            return Err(tightest.unwrap_or_default());
        };
        usage.in_flight += 1;
        self.totals.granted += 1;
        Ok(balance)
    }

    /// Records that a retry has arrived, or was given up and will not arrive much later.
    pub fn record_arrival(&mut self, service: &id::Service, now: Instant) {
        if let Some(usage) = self.services.get_mut(service) {
            usage.in_flight = usage.in_flight.saturating_sub(1);
            let latest = now + self.window.mul_f64(DELIVERY_PART);
            usage.arrivals.push_back(latest);
        }
    }

    /// Removes the services whose requests and retries all lie too far back to count.
    pub fn remove_expired(&mut self, now: Instant) {
        self.services.retain(|_, usage| {
            usage.remove_expired(self.window, now);
            usage.in_flight > 0 || !usage.requests.is_empty() || !usage.arrivals.is_empty()
        });
    }

    /// Returns how many retries were decided on since the start of the process.
    #[must_use]
    pub const fn totals(&self) -> Totals {
        self.totals
    }
}

impl Usage {
    /// Removes what is outside all windows that end at `now` or later, and the windows before them.
    fn remove_expired(&mut self, window: Duration, now: Instant) {
        window::remove_expired(&mut self.requests, window * 2, now);
        window::remove_expired(&mut self.arrivals, window, now);
    }

    /// Returns the number of requests since `window` before a time.
    fn requests_around(&self, start: Instant, window: Duration) -> usize {
        let before = self.requests.partition_point(|at| *at + window <= start);
        self.requests.len() - before
    }
}
