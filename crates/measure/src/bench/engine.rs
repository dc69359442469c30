use std::{collections::VecDeque, time::Duration};

use tokio::time::Instant;

/// Time of a step with an empty batch, and more for each request in it.
const STEP: (Duration, Duration) = (Duration::from_millis(20), Duration::from_micros(500));
/// More for each request beyond the full limit, whose cache must be swapped.
const SWAP: Duration = Duration::from_millis(4);
/// Time after a start for which an engine bears the cold bound only.
pub(crate) const COLD: Duration = Duration::from_secs(5);
/// Time for which a dead engine is away.
pub(crate) const AWAY: Duration = Duration::from_secs(3);
/// Prefixes that an engine's cache holds.
const CACHE: usize = 48;
/// Steps to read a prompt whose prefix is cached, and one whose is not.
const PREFILL: (u32, u32) = (1, 6);

/// Stand-in for the engine or service of one endpoint, driven step by step.
pub(crate) struct Engine {
    pub(crate) limit: conf::Limit,
    /// When it was or will be up; `None` if it stays away.
    pub(crate) up: Option<Instant>,
    /// Counts lives.
    pub(crate) boot: u64,
    pub(crate) batch: Vec<Work>,
    /// Whether a step is under way.
    pub(crate) stepping: bool,
    cache: VecDeque<u64>,
    pub(crate) hits: u64,
    pub(crate) misses: u64,
    pub(crate) deaths: u64,
    /// Most requests beyond what it bore at a time.
    pub(crate) over: u32,
}

/// Attempt in a batch.
#[derive(Clone)]
pub(crate) struct Work {
    pub(crate) request: usize,
    pub(crate) attempt: u32,
    prefill: u32,
    tokens: u32,
}

/// What a step brought for one attempt.
pub(crate) enum Step {
    First(Work),
    End(Work),
}

impl Engine {
    pub(crate) fn new(limit: conf::Limit, up: Instant) -> Self {
        Self {
            limit,
            up: Some(up),
            boot: 1,
            batch: Vec::new(),
            stepping: false,
            cache: VecDeque::new(),
            hits: 0,
            misses: 0,
            deaths: 0,
            over: 0,
        }
    }

    pub(crate) fn is_up(&self, now: Instant) -> bool {
        self.up.is_some_and(|up| up <= now)
    }

    fn bound(&self, now: Instant) -> u32 {
        let cold = self.up.is_none_or(|up| now < up + COLD);
        if cold { self.limit.cold } else { u32::MAX }
    }

    /// Adds an attempt; returns whether the engine died of it.
    pub(crate) fn add(
        &mut self,
        request: usize,
        attempt: u32,
        prefix: u64,
        tokens: u32,
        now: Instant,
    ) -> bool {
        let hit = self.cache.iter().position(|p| *p == prefix);
        if let Some(index) = hit {
            self.cache.remove(index);
            self.hits += 1;
        } else {
            self.misses += 1;
        }
        self.cache.push_back(prefix);
        if self.cache.len() > CACHE {
            self.cache.pop_front();
        }
        let prefill = if hit.is_some() { PREFILL.0 } else { PREFILL.1 };
        self.batch.push(Work {
            request,
            attempt,
            prefill,
            tokens,
        });
        let running = u32::try_from(self.batch.len()).unwrap_or(u32::MAX);
        let bound = self.bound(now);
        let bears = bound.min(self.limit.full);
        self.over = self.over.max(running.saturating_sub(bears));
        running > bound
    }

    pub(crate) fn step_time(&self) -> Duration {
        let running = u32::try_from(self.batch.len()).unwrap_or(u32::MAX);
        let beyond = running.saturating_sub(self.limit.full);
        STEP.0 + STEP.1 * running + SWAP * beyond
    }

    /// Advances all of the batch by one step.
    pub(crate) fn step(&mut self) -> Vec<Step> {
        let mut steps = Vec::new();
        for work in &mut self.batch {
            if work.prefill > 0 {
                work.prefill -= 1;
                if work.prefill > 0 {
                    continue;
                }
                steps.push(Step::First(work.clone()));
            } else {
                work.tokens -= 1;
            }
            if work.tokens == 0 {
                steps.push(Step::End(work.clone()));
            }
        }
        self.batch.retain(|work| work.tokens > 0);
        steps
    }

    /// Ends a life; returns what it cut.
    pub(crate) fn die(&mut self, back: Option<Instant>) -> Vec<Work> {
        self.up = back;
        self.boot += 1;
        self.cache.clear();
        std::mem::take(&mut self.batch)
    }
}
