use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use conf::id;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

/// Time over which completions are counted.
const RATE_WINDOW: Duration = Duration::from_secs(5);
/// Largest number of completions that are remembered.
const MAX_COMPLETIONS: usize = 256;
const MIN_RETRY_TIME: Duration = Duration::from_secs(1);
const MAX_RETRY_TIME: Duration = Duration::from_secs(30);
/// Jitter on the retry time, in percent either way.
const RETRY_JITTER_PERCENT: u32 = 25;
/// Weight of a new sample in the mean service time: 1 / `SERVICE_TIME_SMOOTHING`.
const SERVICE_TIME_SMOOTHING: u32 = 8;

/// Measures the rate of completions and derives the time after which refused clients may retry.
#[derive(Clone, Debug)]
pub(crate) struct Throughput {
    completions: VecDeque<Instant>,
    /// Moving average of the time from admission to completion.
    service_time: Option<Duration>,
    /// Number of retries expected from refused clients of each team and not served yet.
    ///
    /// Fractional, as each team's part of the completions is deducted continuously.
    expected_retries: HashMap<id::Team, f64>,
    /// Time up to which completions have been deducted from `expected_retries`.
    deducted_until: Instant,
    rng: ChaCha8Rng,
}

impl Throughput {
    /// Creates a measure without samples.
    pub(crate) fn new(seed: u64, now: Instant) -> Self {
        Self {
            completions: VecDeque::new(),
            service_time: None,
            expected_retries: HashMap::new(),
            deducted_until: now,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Records the completion of an attempt that was admitted `service_time` ago.
    pub(crate) fn record_completion(&mut self, service_time: Duration, now: Instant) {
        if self.completions.len() == MAX_COMPLETIONS {
            self.completions.pop_front();
        }
        self.completions.push_back(now);
        let mean = self.service_time.unwrap_or(service_time);
        let mean = (mean * (SERVICE_TIME_SMOOTHING - 1) + service_time) / SERVICE_TIME_SMOOTHING;
        self.service_time = Some(mean);
    }

    /// Returns the mean time from admission to completion.
    pub(crate) fn service_time(&self) -> Option<Duration> {
        self.service_time
    }

    /// Returns the completions per second; `None` with fewer than two in the window.
    pub(crate) fn rate(&self, now: Instant) -> Option<f64> {
        let from = now.checked_sub(RATE_WINDOW)?;
        let recent = self.completions.iter().filter(|at| **at >= from);
        let first = recent.clone().next()?;
        let count = recent.count();
        let span = now.duration_since(*first).as_secs_f64();
        (count > 1 && span > 0.0).then(|| count as f64 / span)
    }

    /// Returns the time after which a refused client may retry, with `ahead` attempts in the queue.
    ///
    /// It is the time in which the queue and the retries that the client's team is expected to make
    /// up to its own are served, at an equal part of the rate per team, so that clients do not all
    /// retry at once.
    pub(crate) fn retry_time(
        &mut self,
        team: &id::Team,
        ahead: usize,
        limit: u32,
        now: Instant,
    ) -> Duration {
        let rate = self.rate(now).unwrap_or_else(|| self.estimate_rate(limit));
        let rate = rate.max(0.1);
        self.deduct_completions(rate, now);
        let teams = self.expected_retries.len().max(1) as f64;
        let expected = self.expected_retries.entry(team.clone()).or_default();
        *expected += 1.0;
        let wait = (ahead as f64 + *expected * teams) / rate;
        let jitter = RETRY_JITTER_PERCENT;
        let jitter = f64::from(self.rng.random_range(100 - jitter..=100 + jitter)) / 100.0;
        let (min, max) = (MIN_RETRY_TIME.as_secs_f64(), MAX_RETRY_TIME.as_secs_f64());
        if wait > max {
            *expected -= 1.0;
        }
        Duration::from_secs_f64(wait.clamp(min, max) * jitter)
    }

    /// Deducts the completions since the last call from `expected_retries`, in equal parts per
    /// team.
    fn deduct_completions(&mut self, rate: f64, now: Instant) {
        let elapsed = now.duration_since(self.deducted_until).as_secs_f64();
        self.deducted_until = now;
        let per_team = elapsed * rate / self.expected_retries.len().max(1) as f64;
        self.expected_retries.retain(|_, expected| {
            *expected -= per_team;
            *expected > 0.0
        });
    }

    /// Estimates the completions per second of an endpoint that runs `limit` attempts at a time.
    fn estimate_rate(&self, limit: u32) -> f64 {
        let service_time = self.service_time.unwrap_or(MIN_RETRY_TIME).as_secs_f64();
        f64::from(limit) / service_time.max(0.001)
    }
}
