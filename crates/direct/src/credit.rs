use std::{collections::VecDeque, time::Duration};

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use tokio::time::Instant;

/// Lowest rate that is used, in requests per second: an endpoint that wants less still gets a request now
/// and then, whose answer tells when its limit has ended.
const MIN_RATE: f64 = 0.1;
/// Time for which a permit is kept for requests of this entry before another entry gets it.
const IDLE_TIME: Duration = Duration::from_millis(150);
/// Shortest and longest time in which a permit can be used.
const LIFETIME: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(10));
/// Part of the mean time between two permits in which one can be used.
const LIFETIME_PART: f64 = 2.0;

/// Share of an entry in the requests that an endpoint takes from all entries together.
///
/// Each entry earns an equal part of the rate in fractions of a request. Entries hand fractions to one of them,
/// where they add up to permits, and permits that they have no use for to any other; nobody can create any.
/// Fractions fade and permits expire, so that their sum has a bound wherever they are: over any four seconds it
/// is below one and a half times the rate and five requests. In addition, no entry uses permits faster than the
/// whole rate, whatever others hand to it.
#[derive(Clone, Debug)]
pub(crate) struct Credit {
    rate: f64,
    /// Part of a request, 0 to 1.
    fraction: f64,
    /// Permits for one request each.
    permits: VecDeque<Permit>,
    /// Requests that a single entry may send at once.
    burst: f64,
    updated_at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Permit {
    received_at: Instant,
    expires_at: Instant,
}

/// Part of the credit for an endpoint that one entry hands to another.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct Amount {
    /// Part of a request.
    fraction: f64,
    /// Time in which each permit can be used.
    #[serde_as(as = "Vec<DurationMilliSeconds<u64>>")]
    permits: Vec<Duration>,
}

impl Credit {
    /// Creates empty credit for an endpoint that takes `rate` requests per second.
    pub(crate) fn new(rate: f64, now: Instant) -> Self {
        Self {
            rate: rate.max(MIN_RATE),
            fraction: 0.0,
            permits: VecDeque::new(),
            burst: 0.0,
            updated_at: now,
        }
    }

    /// Returns the rate in requests per second.
    pub(crate) const fn rate(&self) -> f64 {
        self.rate
    }

    /// Changes the rate; a lower one reduces what was earned before.
    pub(crate) fn set_rate(&mut self, rate: f64) {
        let before = capacity(self.rate);
        self.rate = rate.max(MIN_RATE);
        let factor = (capacity(self.rate) / before).min(1.0);
        self.fraction *= factor;
        self.burst *= factor;
        self.permits.truncate(capacity(self.rate) as usize);
    }

    /// Earns the part of one of `entries` entries, and removes what has faded or expired by `now`.
    pub(crate) fn advance(&mut self, entries: usize, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        let kept = (-elapsed / fade_time(self.rate)).exp();
        let earned = capacity(self.rate) * (1.0 - kept);
        self.fraction = self.fraction * kept + earned / entries.max(1) as f64;
        self.burst = self.burst * kept + earned;
        self.permits.retain(|permit| permit.expires_at > now);
        self.issue_permits();
    }

    /// Returns whether a request may be sent.
    pub(crate) fn is_available(&self) -> bool {
        !self.permits.is_empty() && self.burst >= 1.0
    }

    /// Uses a permit for a request.
    pub(crate) fn spend(&mut self) {
        self.permits.pop_front();
        self.burst = (self.burst - 1.0).max(0.0);
    }

    /// Adds what another entry handed over.
    pub(crate) fn receive(&mut self, amount: &Amount) {
        if amount.fraction > 0.0 {
            self.fraction += amount.fraction.min(1.0);
        }
        let room = (capacity(self.rate) as usize).saturating_sub(self.permits.len());
        for lifetime in amount.permits.iter().take(room) {
            self.permits.push_back(Permit {
                received_at: self.updated_at,
                expires_at: self.updated_at + (*lifetime).min(lifetime_of(self.rate)),
            });
        }
        self.issue_permits();
    }

    /// Removes and returns the part of a request that is held, if there is one.
    pub(crate) fn take_fraction(&mut self) -> Option<Amount> {
        let fraction = std::mem::take(&mut self.fraction);
        (fraction > 0.0).then(|| Amount {
            fraction,
            ..Amount::default()
        })
    }

    /// Removes and returns the permits that have not been used for some time, one by one.
    pub(crate) fn take_idle(&mut self) -> Vec<Amount> {
        let now = self.updated_at;
        let mut idle = Vec::new();
        self.permits.retain(|permit| {
            let is_idle = now.duration_since(permit.received_at) >= IDLE_TIME;
            if is_idle {
                idle.push(Amount {
                    permits: vec![permit.expires_at.duration_since(now)],
                    ..Amount::default()
                });
            }
            !is_idle
        });
        idle
    }

    /// Turns fractions that add up to a request into permits.
    fn issue_permits(&mut self) {
        while self.fraction >= 1.0 {
            self.fraction -= 1.0;
            self.permits.push_back(Permit {
                received_at: self.updated_at,
                expires_at: self.updated_at + lifetime_of(self.rate),
            });
        }
    }
}

/// Returns the time in which a permit can be used.
fn lifetime_of(rate: f64) -> Duration {
    Duration::from_secs_f64(LIFETIME_PART / rate).clamp(LIFETIME.0, LIFETIME.1)
}

/// Returns the time in seconds in which fractions fade to 1/e.
///
/// A longer time loses less, a shorter one bounds what may add up at many entries at once.
fn fade_time(rate: f64) -> f64 {
    (0.7 * rate + 1.5) / rate
}

/// Returns the fractions that all entries together approach if none adds up to a permit.
///
/// It makes up for what fades: one entry that collects all fractions issues exactly `rate` permits per second.
fn capacity(rate: f64) -> f64 {
    -1.0 / (-1.0 / (rate * fade_time(rate))).exp_m1()
}
