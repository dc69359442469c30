use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Largest part of a sample; it takes one byte on the way.
const LARGEST: u32 = 127;

/// Counts of one rank, rounded so that each takes one byte on the way to the leader.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Sample {
    scale: u32,
    #[serde(rename = "parts")]
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

/// Time in which the newest counts lose weight by a factor of e: one or two reports of each rank.
const NEWEST: Duration = Duration::from_millis(130);
/// Time in which lasting counts lose weight by a factor of e: some changes of what requests are about.
const LASTING: Duration = Duration::from_secs(8);

/// Estimates the popularity of experts from what ranks count: of late, and lastingly.
///
/// A map that is planned for both keeps replicas of what was liked before and may be again.
#[derive(Clone, Debug)]
pub struct Tally {
    memory: Duration,
    sets: usize,
    /// Counts that are forgotten soon, set by set; empty until the first came in.
    weights: Vec<f64>,
    /// Counts that are forgotten at once, as many.
    newest: Vec<f64>,
    /// Counts that are forgotten slowly, as many.
    lasting: Vec<f64>,
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
            newest: Vec::new(),
            lasting: Vec::new(),
            at: None,
        }
    }

    /// Takes in what one rank has counted since it last told.
    pub fn add(&mut self, fresh: &Sample, now: Instant) {
        if self.weights.len() != fresh.parts.len() {
            self.weights = vec![0.0; fresh.parts.len()];
            self.newest = vec![0.0; fresh.parts.len()];
            self.lasting = vec![0.0; fresh.parts.len()];
        }
        let age = self.at.map_or(Duration::ZERO, |at| now.duration_since(at));
        self.at = Some(now);
        let scale = f64::from(fresh.scale);
        let memories = [
            (&mut self.newest, NEWEST),
            (&mut self.weights, self.memory),
            (&mut self.lasting, LASTING),
        ];
        for (weights, memory) in memories {
            let keep = (-age.as_secs_f64() / memory.as_secs_f64()).exp();
            for (weight, part) in weights.iter_mut().zip(&fresh.parts) {
                *weight = *weight * keep + f64::from(*part) * scale;
            }
        }
    }

    /// Returns the sum of the weights of a set, averaged over the sets.
    #[must_use]
    pub fn mass(&self) -> f64 {
        self.weights.iter().sum::<f64>() / self.sets.max(1) as f64
    }

    /// Returns the weights of late by set.
    #[must_use]
    pub fn popularity(&self) -> Vec<Vec<f64>> {
        self.blend(0.0)
    }

    /// Returns the newest weights by set, which follow a change of topic soonest.
    #[must_use]
    pub fn newest(&self) -> Vec<Vec<f64>> {
        let experts = self.newest.len() / self.sets.max(1);
        let sets = self.newest.chunks(experts.max(1));
        sets.map(<[f64]>::to_vec).collect()
    }

    /// Returns weights by set of which a share is lasting; their sums are those of late.
    #[must_use]
    pub fn blend(&self, lasting: f64) -> Vec<Vec<f64>> {
        let experts = self.weights.len() / self.sets.max(1);
        if experts == 0 {
            return Vec::new();
        }
        let sets = self.weights.chunks(experts);
        let sets = sets.zip(self.lasting.chunks(experts));
        sets.map(|(late, long)| {
            let (late_sum, long_sum): (f64, f64) = (late.iter().sum(), long.iter().sum());
            let scale = if long_sum > 0.0 {
                late_sum / long_sum
            } else {
                0.0
            };
            let pairs = late.iter().zip(long);
            pairs
                .map(|(late, long)| late * (1.0 - lasting) + long * scale * lasting)
                .collect()
        })
        .collect()
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        self.weights.clear();
        self.newest.clear();
        self.lasting.clear();
        self.at = None;
    }
}
