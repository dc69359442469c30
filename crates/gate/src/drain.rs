use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use conf::id;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

/// Time over which ends are counted.
const WINDOW: Duration = Duration::from_secs(5);
/// Ends that are remembered at most.
const MEMORY: usize = 256;
/// Shortest and longest time after which callers are asked to come back.
const COME_BACK: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(30));
/// Jitter on that time, in percent either way.
const JITTER: u32 = 25;
/// Part of a new sample in the usual service time: one over this.
const SMOOTHING: u32 = 8;

/// Measures how fast work ends, and says when refused callers may come back.
#[derive(Clone, Debug)]
pub(crate) struct Drain {
    ends: VecDeque<Instant>,
    service: Option<Duration>,
    /// Refused callers that were told to come back and whose turn is not yet over, by team.
    owed: HashMap<id::Team, f64>,
    counted: Instant,
    rng: ChaCha8Rng,
}

impl Drain {
    /// Creates a measure that has seen nothing.
    pub(crate) fn new(seed: u64, now: Instant) -> Self {
        Self {
            ends: VecDeque::new(),
            service: None,
            owed: HashMap::new(),
            counted: now,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Takes in the end of an attempt that ran for `service`.
    pub(crate) fn end(&mut self, service: Duration, now: Instant) {
        if self.ends.len() == MEMORY {
            self.ends.pop_front();
        }
        self.ends.push_back(now);
        let old = self.service.unwrap_or(service);
        self.service = Some((old * (SMOOTHING - 1) + service) / SMOOTHING);
    }

    /// Returns the usual time from the admission of an attempt to its end.
    pub(crate) fn service(&self) -> Option<Duration> {
        self.service
    }

    /// Returns the ends a second; `None` if there were too few to tell.
    pub(crate) fn rate(&self, now: Instant) -> Option<f64> {
        let from = now.checked_sub(WINDOW)?;
        let recent = self.ends.iter().filter(|end| **end >= from);
        let first = recent.clone().next()?;
        let count = recent.count();
        let span = now.duration_since(*first).as_secs_f64();
        (count > 1 && span > 0.0).then(|| count as f64 / span)
    }

    /// Says when a refused caller may come back, if `ahead` attempts wait.
    ///
    /// Each caller gets the time at which the work promised to its team before it has drained at
    /// the team's part of the rate, so that callers do not come back together.
    pub(crate) fn come_back(
        &mut self,
        team: &id::Team,
        ahead: usize,
        limit: u32,
        now: Instant,
    ) -> Duration {
        let rate = self.rate(now).unwrap_or_else(|| self.guess(limit)).max(0.1);
        self.settle(rate, now);
        let teams = self.owed.len().max(1) as f64;
        let owed = self.owed.entry(team.clone()).or_default();
        *owed += 1.0;
        let wait = (ahead as f64 + *owed * teams) / rate;
        let jitter = f64::from(self.rng.random_range(100 - JITTER..=100 + JITTER)) / 100.0;
        let (least, most) = (COME_BACK.0.as_secs_f64(), COME_BACK.1.as_secs_f64());
        if wait > most {
            *owed -= 1.0;
        }
        Duration::from_secs_f64(wait.clamp(least, most) * jitter)
    }

    /// Takes what has drained since the last time off what each team is owed.
    fn settle(&mut self, rate: f64, now: Instant) {
        let passed = now.duration_since(self.counted).as_secs_f64();
        self.counted = now;
        let each = passed * rate / self.owed.len().max(1) as f64;
        self.owed.retain(|_, owed| {
            *owed -= each;
            *owed > 0.0
        });
    }

    fn guess(&self, limit: u32) -> f64 {
        let service = self.service.unwrap_or(COME_BACK.0).as_secs_f64();
        f64::from(limit) / service.max(0.001)
    }
}
