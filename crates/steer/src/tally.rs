use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Largest part of a sample; it takes one byte on the way.
const LARGEST: u32 = 127;

/// Counts of one rank, rounded so that each takes one byte on the way to the leader.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Sample {
    scale: u32,
    parts: Vec<u8>,
}

impl Sample {
    /// Rounds counts to multiples of a scale that fits the largest.
    #[must_use]
    pub fn new(counts: &[u32]) -> Self {
        let most = counts.iter().copied().max().unwrap_or(0);
        let scale = most.div_ceil(LARGEST).max(1);
        let part = |count: &u32| {
            let rounded = count.saturating_add(scale / 2) / scale;
            u8::try_from(rounded.min(LARGEST)).unwrap_or(u8::MAX)
        };
        Self {
            scale,
            parts: counts.iter().map(part).collect(),
        }
    }

    /// Returns whether nothing was counted.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }
}

/// Estimates the popularity of experts from what ranks count, newest most.
#[derive(Clone, Debug)]
pub struct Tally {
    memory: Duration,
    sets: usize,
    /// Decayed counts, set by set; empty until the first came in.
    weights: Vec<f64>,
    at: Option<Instant>,
}

impl Tally {
    /// Creates an estimate in which counts lose weight by a factor of e in each `memory`.
    #[must_use]
    pub const fn new(memory: Duration, sets: usize) -> Self {
        Self {
            memory,
            sets,
            weights: Vec::new(),
            at: None,
        }
    }

    /// Takes in what one rank has counted since it last told.
    pub fn add(&mut self, fresh: &Sample, now: Instant) {
        if self.weights.len() != fresh.parts.len() {
            self.weights = vec![0.0; fresh.parts.len()];
        }
        let age = self.at.map_or(Duration::ZERO, |at| now.duration_since(at));
        let keep = (-age.as_secs_f64() / self.memory.as_secs_f64()).exp();
        self.at = Some(now);
        let scale = f64::from(fresh.scale);
        for (weight, part) in self.weights.iter_mut().zip(&fresh.parts) {
            *weight = *weight * keep + f64::from(*part) * scale;
        }
    }

    /// Returns the sum of the weights of a set, averaged over the sets.
    #[must_use]
    pub fn mass(&self) -> f64 {
        self.weights.iter().sum::<f64>() / self.sets.max(1) as f64
    }

    /// Returns the weights by set.
    #[must_use]
    pub fn popularity(&self) -> Vec<Vec<f64>> {
        let experts = self.weights.len() / self.sets.max(1);
        if experts == 0 {
            return Vec::new();
        }
        self.weights.chunks(experts).map(<[f64]>::to_vec).collect()
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        self.weights.clear();
        self.at = None;
    }
}
