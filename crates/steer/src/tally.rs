use std::time::Duration;

use tokio::time::Instant;

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
    pub fn add(&mut self, fresh: &[u32], now: Instant) {
        if self.weights.len() != fresh.len() {
            self.weights = vec![0.0; fresh.len()];
        }
        let age = self.at.map_or(Duration::ZERO, |at| now.duration_since(at));
        let keep = (-age.as_secs_f64() / self.memory.as_secs_f64()).exp();
        self.at = Some(now);
        for (weight, fresh) in self.weights.iter_mut().zip(fresh) {
            *weight = *weight * keep + f64::from(*fresh);
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
