use std::{collections::VecDeque, time::Duration};

use tokio::time::Instant;

/// Duration of a step with an empty batch.
const STEP_BASE: Duration = Duration::from_millis(20);
/// Added to a step for each request in the batch.
const STEP_PER_REQUEST: Duration = Duration::from_micros(500);
/// Added to a step for each request above the full limit, whose cache must be swapped.
const SWAP_PER_REQUEST: Duration = Duration::from_millis(4);
/// Time after a start during which an engine crashes above its cold limit.
pub(crate) const WARM_UP: Duration = Duration::from_secs(5);
/// Time from a crash until the engine is up again.
pub(crate) const RESTART_TIME: Duration = Duration::from_secs(3);
/// Capacity of an engine's prefix cache.
const MAX_CACHED_PREFIXES: usize = 48;
/// Prefill steps of a prompt whose prefix is cached.
const CACHED_PREFILL_STEPS: u32 = 1;
/// Prefill steps of a prompt whose prefix is not cached.
const UNCACHED_PREFILL_STEPS: u32 = 6;

/// Model of the engine or service behind one endpoint, advanced step by step.
pub(crate) struct Engine {
    pub(crate) limit: conf::Limit,
    /// Start time, which may lie in the future; `None` if no start is scheduled.
    pub(crate) up_at: Option<Instant>,
    /// Incremented at each stop, so that step events of an earlier run are recognized.
    pub(crate) generation: u64,
    pub(crate) batch: Vec<Sequence>,
    /// Whether a step event is scheduled.
    pub(crate) step_pending: bool,
    cache: VecDeque<u64>,
    pub(crate) cache_hits: u64,
    pub(crate) cache_misses: u64,
    pub(crate) crashes: u64,
    /// Largest number of requests above the limit in force.
    pub(crate) max_excess: u32,
}

/// Attempt at a request in an engine's batch.
#[derive(Clone)]
pub(crate) struct Sequence {
    /// Index of the request in the simulation.
    pub(crate) request: usize,
    /// Number that the entry gave the attempt.
    pub(crate) attempt: u32,
    prefill_steps: u32,
    tokens: u32,
}

/// Output of a step for one attempt.
pub(crate) enum Output {
    FirstToken(Sequence),
    Completed(Sequence),
}

impl Engine {
    pub(crate) fn new(limit: conf::Limit, up_at: Instant) -> Self {
        Self {
            limit,
            up_at: Some(up_at),
            generation: 1,
            batch: Vec::new(),
            step_pending: false,
            cache: VecDeque::new(),
            cache_hits: 0,
            cache_misses: 0,
            crashes: 0,
            max_excess: 0,
        }
    }

    pub(crate) fn is_up(&self, now: Instant) -> bool {
        self.up_at.is_some_and(|up_at| up_at <= now)
    }

    /// Returns the number of requests above which the engine crashes.
    fn crash_limit(&self, now: Instant) -> u32 {
        let cold = self.up_at.is_none_or(|up_at| now < up_at + WARM_UP);
        if cold { self.limit.cold } else { u32::MAX }
    }

    /// Adds an attempt to the batch and returns whether this crashes the engine.
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
            self.cache_hits += 1;
        } else {
            self.cache_misses += 1;
        }
        self.cache.push_back(prefix);
        if self.cache.len() > MAX_CACHED_PREFIXES {
            self.cache.pop_front();
        }
        let prefill_steps = if hit.is_some() {
            CACHED_PREFILL_STEPS
        } else {
            UNCACHED_PREFILL_STEPS
        };
        self.batch.push(Sequence {
            request,
            attempt,
            prefill_steps,
            tokens,
        });
        let running = u32::try_from(self.batch.len()).unwrap_or(u32::MAX);
        let crash_limit = self.crash_limit(now);
        let limit = crash_limit.min(self.limit.full);
        self.max_excess = self.max_excess.max(running.saturating_sub(limit));
        running > crash_limit
    }

    pub(crate) fn step_time(&self) -> Duration {
        let running = u32::try_from(self.batch.len()).unwrap_or(u32::MAX);
        let excess = running.saturating_sub(self.limit.full);
        STEP_BASE + STEP_PER_REQUEST * running + SWAP_PER_REQUEST * excess
    }

    /// Advances the whole batch by one step.
    pub(crate) fn step(&mut self) -> Vec<Output> {
        let mut outputs = Vec::new();
        for sequence in &mut self.batch {
            if sequence.prefill_steps > 0 {
                sequence.prefill_steps -= 1;
                if sequence.prefill_steps > 0 {
                    continue;
                }
                outputs.push(Output::FirstToken(sequence.clone()));
            } else {
                sequence.tokens -= 1;
            }
            if sequence.tokens == 0 {
                outputs.push(Output::Completed(sequence.clone()));
            }
        }
        self.batch.retain(|sequence| sequence.tokens > 0);
        outputs
    }

    /// Stops the engine and returns the attempts that this interrupts.
    pub(crate) fn stop(&mut self, restart_at: Option<Instant>) -> Vec<Sequence> {
        self.up_at = restart_at;
        self.generation += 1;
        self.cache.clear();
        std::mem::take(&mut self.batch)
    }
}
