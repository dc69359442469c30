use std::time::Duration;

use conf::Limit;
use tokio::time::Instant;

/// Ratio of the recent to the usual time to the first chunk above which the endpoint counts as
/// cold.
///
/// Means are compared, not single times: a cached prefix makes one first chunk far faster than the
/// next.
const COLD_RATIO: u32 = 4;
/// Ratio of the recent to the usual time to the first chunk above which completions do not raise
/// the limit.
const SLOW_RATIO: u32 = 2;
/// Mean time to the first chunk up to which the endpoint counts as neither slow nor cold.
const MIN_SLOW_TIME: Duration = Duration::from_millis(50);
/// Weight of a new sample in the recent time to the first chunk: 1 / `RECENT_SMOOTHING`.
const RECENT_SMOOTHING: u32 = 8;
/// Weight of a new sample in the usual time to the first chunk: 1 / `USUAL_SMOOTHING`.
const USUAL_SMOOTHING: u32 = 256;

/// Limits the attempts in flight: starts at the cold limit and grows with healthy completions.
///
/// The limit grows by half after as many healthy completions as the limit allows in flight.
/// Completions count only for attempts that began under the current limit with at least half of
/// it in use.
#[derive(Clone, Debug)]
pub(crate) struct Limiter {
    bounds: Limit,
    /// Time after a reset for which the cold limit holds.
    warm_up: Duration,
    limit: u32,
    /// Time of the last reset to the cold limit.
    reset_at: Instant,
    /// Time since which the current limit has been in force.
    limit_since: Instant,
    /// Healthy completions under the current limit.
    completions: u32,
    /// Recent and usual time to the first chunk.
    first_chunk_times: Option<(Duration, Duration)>,
    /// Number of samples in these times, up to `USUAL_SMOOTHING`.
    samples: u32,
}

impl Limiter {
    /// Creates a limiter that admits nothing until it has its bounds.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            bounds: Limit { cold: 0, full: 0 },
            warm_up: Duration::ZERO,
            limit: 0,
            reset_at: now,
            limit_since: now,
            completions: 0,
            first_chunk_times: None,
            samples: 0,
        }
    }

    /// Sets the bounds of the limit, and the time after a reset for which the cold limit holds.
    pub(crate) fn configure(&mut self, bounds: Limit, warm_up: Duration) {
        self.bounds = bounds;
        self.warm_up = warm_up;
        let cold = bounds.cold.min(bounds.full);
        self.limit = self.limit.clamp(cold, bounds.full);
    }

    /// Returns the largest number of attempts that may be in flight now.
    pub(crate) fn limit(&self) -> u32 {
        self.limit
    }

    /// Returns whether the limit is below that of the steady state.
    pub(crate) fn is_cold(&self) -> bool {
        self.limit < self.bounds.full
    }

    /// Resets the limit to the cold limit.
    pub(crate) fn reset(&mut self, now: Instant) {
        self.limit = self.bounds.cold.min(self.bounds.full);
        self.reset_at = now;
        self.limit_since = now;
        self.completions = 0;
    }

    /// Records the time to a first chunk; resets the limit if it shows a cold endpoint, and returns
    /// whether it did.
    pub(crate) fn record_first_chunk(&mut self, time: Duration, now: Instant) -> bool {
        let (recent, usual) = self.first_chunk_times.unwrap_or((time, time));
        self.samples = USUAL_SMOOTHING.min(self.samples + 1);
        let recent = moving_average(recent, time, RECENT_SMOOTHING.min(self.samples));
        let usual = moving_average(usual, time, self.samples);
        self.first_chunk_times = Some((recent, usual));
        if !self.is_slower(COLD_RATIO) {
            return false;
        }
        self.first_chunk_times = None;
        self.samples = 0;
        self.reset(now);
        true
    }

    /// Returns whether the recent time to the first chunk is more than `ratio` times the usual one.
    fn is_slower(&self, ratio: u32) -> bool {
        self.first_chunk_times
            .is_some_and(|(recent, usual)| recent > MIN_SLOW_TIME.max(usual * ratio))
    }

    /// Records the completion of an attempt that began with `in_flight` attempts, itself included.
    pub(crate) fn record_completion(&mut self, began: Instant, in_flight: u32, now: Instant) {
        let early = began < self.limit_since || now < self.reset_at + self.warm_up;
        let idle = in_flight * 2 < self.limit;
        if early || !self.is_cold() || self.is_slower(SLOW_RATIO) || idle {
            return;
        }
        self.completions += 1;
        if self.completions < self.limit {
            return;
        }
        let raised = (self.limit + 1).max(self.limit * 3 / 2);
        self.limit = raised.min(self.bounds.full);
        self.limit_since = now;
        self.completions = 0;
    }
}

fn moving_average(mean: Duration, sample: Duration, smoothing: u32) -> Duration {
    (mean * (smoothing - 1) + sample) / smoothing
}
