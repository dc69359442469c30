use std::{ops::Range, time::Duration};

use rand::RngExt as _;
use tokio::time::Instant;

/// Shares of the change time, from the least to the largest, after which an entry asks the store for news.
///
/// Few entries have a share close to the least: their news spare the others the call.
const MAX_AGE_SHARES: (f64, f64) = (0.65, 0.78);
/// Least delay after the first check that failed, and after many in series; it doubles with each failure.
const RETRY_DELAYS: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(8));
/// Range of the random factor of the delay, so that entries do not ask together.
const JITTER: Range<f64> = 1.0..1.25;

/// Tracks up to which time an entry knows all changes that the store had accepted.
///
/// Whatever other entries tell or fail to tell, no change is unknown for longer than the change time while the store
/// answers: the entry asks the store itself before its news are as old.
#[derive(Clone, Debug)]
pub struct Freshness {
    /// Time up to which all changes are known.
    current_at: Instant,
    max_age: Duration,
    /// Number of checks in series that failed.
    failures: u32,
    /// Time before which the store is not asked again.
    retry_at: Instant,
}

impl Freshness {
    /// Creates the state of an entry that knows nothing yet; changes must be known within `change_time`.
    #[must_use]
    pub fn new(change_time: Duration, random: &mut impl rand::Rng, now: Instant) -> Self {
        let (least, largest) = MAX_AGE_SHARES;
        let share = least + (largest - least) * random.random::<f64>().sqrt();
        Self {
            current_at: now,
            max_age: change_time.mul_f64(share),
            failures: 0,
            retry_at: now,
        }
    }

    /// Records that all changes are known which the store had accepted at a time.
    pub fn record_current(&mut self, at: Instant) {
        if at > self.current_at {
            self.current_at = at;
            self.failures = 0;
        }
    }

    /// Records that the store did not answer a call.
    pub fn record_failure(&mut self, now: Instant) {
        let (min, max) = RETRY_DELAYS;
        let delay = (min * (1 << self.failures.min(8))).min(max);
        self.failures = self.failures.saturating_add(1);
        self.retry_at = now + delay.mul_f64(rand::random_range(JITTER));
    }

    /// Returns whether the store is to be asked now.
    #[must_use]
    pub fn is_stale(&self, now: Instant) -> bool {
        self.age(now) >= self.max_age && (self.failures == 0 || now >= self.retry_at)
    }

    /// Returns the time since which changes may be unknown.
    #[must_use]
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.current_at)
    }
}
