//! Rate limit for cold endpoints, which have just started and are not at full speed yet.

use std::{collections::HashMap, time::Duration};

use conf::id;
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};
use tokio::time::Instant;

/// Window over which requests to a cold endpoint are counted: one second, and a tenth for the
/// variation of network delays.
const WINDOW: Duration = Duration::from_millis(1100);
/// Part of an endpoint's rate that entries use together when each may send less than one request in
/// [`WINDOW`]. Their sends fall at random times then, so that some windows hold more than the mean.
const RANDOM_PHASE_SHARE: f64 = 0.5;

/// Limits the requests of this entry to cold endpoints, so that all entries together stay within
/// the endpoint's rate.
///
/// An entry whose share is below one request in a window waits for a random part of its interval
/// before its first request too: otherwise all entries would send their first one at once.
#[derive(Clone, Debug)]
pub struct Limiter {
    endpoints: HashMap<id::Endpoint, Record>,
    random: SmallRng,
}

/// Last request to an endpoint, or the time at which it was first seen as cold.
#[derive(Clone, Debug)]
struct Record {
    since: Instant,
    /// Part of the interval that must pass after `since`, 0 to 1.
    wait: f64,
}

impl Limiter {
    /// Creates a limiter; `seed` is that of the random delays before first requests.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            endpoints: HashMap::new(),
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns whether this entry, one of `entries`, may send another request to a cold endpoint
    /// that takes `rate` requests a second from all entries.
    #[must_use]
    pub fn allows(
        &mut self,
        endpoint: &id::Endpoint,
        rate: f64,
        entries: usize,
        now: Instant,
    ) -> bool {
        if rate <= 0.0 {
            return false;
        }
        let (interval, is_whole) = interval(rate, entries);
        let Some(record) = self.endpoints.get(endpoint) else {
            let wait = match is_whole {
                true => 0.0,
                false => self.random.random_range(0.0..1.0),
            };
            let record = Record { since: now, wait };
            let allowed = wait == 0.0;
            self.endpoints.insert(endpoint.clone(), record);
            return allowed;
        };
        now.duration_since(record.since) >= interval.mul_f64(record.wait)
    }

    /// Records that a request was sent to a cold endpoint.
    pub fn record_sent(&mut self, endpoint: &id::Endpoint, now: Instant) {
        let record = Record {
            since: now,
            wait: 1.0,
        };
        self.endpoints.insert(endpoint.clone(), record);
    }

    /// Removes the endpoints that are no longer cold.
    pub fn retain(&mut self, is_cold: impl Fn(&id::Endpoint) -> bool) {
        self.endpoints.retain(|endpoint, _| is_cold(endpoint));
    }
}

/// Returns the time between two requests of one of `entries` entries, and whether an entry may send
/// at least one request in each window.
fn interval(rate: f64, entries: usize) -> (Duration, bool) {
    let share = rate / entries.max(1) as f64;
    if share >= 1.0 {
        return (WINDOW.div_f64(share.floor()), true);
    }
    let share = (share * RANDOM_PHASE_SHARE).max(0.001);
    (WINDOW.div_f64(share), false)
}
