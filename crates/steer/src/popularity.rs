use std::{num::NonZeroUsize, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Largest quantized count; MessagePack encodes integers up to 127 in one byte.
const MAX_QUANTIZED: u32 = 127;

/// Counts of one rank, quantized so that each takes one byte in a report to the leader.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Sample {
    scale: u32,
    #[serde(rename = "parts")]
    quantized: Vec<u8>,
}

impl Sample {
    /// Rounds counts to multiples of the smallest scale that fits the largest count.
    #[must_use]
    pub fn new(counts: &[u32]) -> Self {
        let max = counts.iter().copied().max().unwrap_or(0);
        let scale = max.div_ceil(MAX_QUANTIZED).max(1);
        let quantize = |count: &u32| {
            let rounded = count.saturating_add(scale / 2) / scale;
            u8::try_from(rounded.min(MAX_QUANTIZED)).unwrap_or(u8::MAX)
        };
        Self {
            scale,
            quantized: counts.iter().map(quantize).collect(),
        }
    }

    /// Returns whether the sample has no counts, not even zeros.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.quantized.is_empty()
    }

    /// Returns the number of counts.
    pub(crate) const fn len(&self) -> usize {
        self.quantized.len()
    }

    /// Returns the rounded counts.
    pub(crate) fn counts(&self) -> impl Iterator<Item = f64> {
        let scale = f64::from(self.scale);
        self.quantized.iter().map(move |n| f64::from(*n) * scale)
    }

    /// Returns the mean of the weights over the choices counted; `None` without choices.
    pub(crate) fn score(&self, weights: &[f64]) -> Option<f64> {
        let total: f64 = self.counts().sum();
        let weighted = self.counts().zip(weights).map(|(n, weight)| n * weight);
        (total > 0.0).then(|| weighted.sum::<f64>() / total)
    }
}

/// Time in which short-term counts decay by a factor of e: one or two reports of each rank.
const SHORT_TERM_DECAY: Duration = Duration::from_millis(130);
/// Time in which long-term counts decay by a factor of e: several changes of the requests' topic.
const LONG_TERM_DECAY: Duration = Duration::from_secs(8);

/// Popularity of experts: exponentially decayed sums of the ranks' counts over three time scales.
///
/// A map that is planned for medium-term and long-term popularity keeps replicas of experts that
/// were popular before and may be again.
#[derive(Clone, Debug)]
pub struct Popularity {
    /// Time in which medium-term counts decay by a factor of e.
    decay_time: Duration,
    /// Number of sets.
    sets: NonZeroUsize,
    /// Decayed short-term counts, set by set; empty until the first sample, like the two below.
    short_term: Vec<f64>,
    medium_term: Vec<f64>,
    long_term: Vec<f64>,
    updated_at: Option<Instant>,
}

impl Popularity {
    /// Creates an estimate whose medium-term counts decay by a factor of e in each `decay_time`.
    #[must_use]
    pub const fn new(decay_time: Duration, sets: NonZeroUsize) -> Self {
        Self {
            decay_time,
            sets,
            short_term: Vec::new(),
            medium_term: Vec::new(),
            long_term: Vec::new(),
            updated_at: None,
        }
    }

    /// Adds what one rank has counted since its last sample.
    pub fn add(&mut self, sample: &Sample, now: Instant) {
        if self.medium_term.len() != sample.quantized.len() {
            self.medium_term = vec![0.0; sample.quantized.len()];
            self.short_term = vec![0.0; sample.quantized.len()];
            self.long_term = vec![0.0; sample.quantized.len()];
        }
        let age = self
            .updated_at
            .map_or(Duration::ZERO, |at| now.duration_since(at));
        self.updated_at = Some(now);
        let scale = f64::from(sample.scale);
        let time_scales = [
            (&mut self.short_term, SHORT_TERM_DECAY),
            (&mut self.medium_term, self.decay_time),
            (&mut self.long_term, LONG_TERM_DECAY),
        ];
        for (decayed_counts, decay_time) in time_scales {
            let decay = (-age.as_secs_f64() / decay_time.as_secs_f64()).exp();
            for (decayed, count) in decayed_counts.iter_mut().zip(&sample.quantized) {
                *decayed = *decayed * decay + f64::from(*count) * scale;
            }
        }
    }

    /// Returns the number of sets.
    #[must_use]
    pub const fn sets(&self) -> NonZeroUsize {
        self.sets
    }

    /// Returns the number of experts in a set; `None` before the first sample.
    #[must_use]
    pub fn experts(&self) -> Option<NonZeroUsize> {
        NonZeroUsize::new(self.medium_term.len() / self.sets)
    }

    /// Returns the sum of the medium-term counts in a set, averaged over the sets.
    #[must_use]
    pub fn choices_per_set(&self) -> f64 {
        self.medium_term.iter().sum::<f64>() / self.sets.get() as f64
    }

    /// Returns the decayed medium-term count of each expert, by set.
    #[must_use]
    pub fn medium_term(&self) -> Vec<Vec<f64>> {
        self.blend(0.0)
    }

    /// Returns the decayed short-term count of each expert, by set; it follows a change of topic first.
    #[must_use]
    pub fn short_term(&self) -> Vec<Vec<f64>> {
        let Some(experts) = self.experts() else {
            return Vec::new();
        };
        let sets = self.short_term.chunks(experts.get());
        sets.map(<[f64]>::to_vec).collect()
    }

    /// Returns a weighted mean of medium-term and long-term counts, by set.
    ///
    /// Long-term counts are scaled first so that the sum over a set equals the medium-term sum.
    #[must_use]
    pub fn blend(&self, long_term_share: f64) -> Vec<Vec<f64>> {
        let Some(experts) = self.experts() else {
            return Vec::new();
        };
        let sets = self.medium_term.chunks(experts.get());
        let sets = sets.zip(self.long_term.chunks(experts.get()));
        sets.map(|(medium, long)| {
            let (medium_sum, long_sum): (f64, f64) = (medium.iter().sum(), long.iter().sum());
            let scale = if long_sum > 0.0 {
                medium_sum / long_sum
            } else {
                0.0
            };
            let pairs = medium.iter().zip(long);
            pairs
                .map(|(medium, long)| {
                    medium * (1.0 - long_term_share) + long * scale * long_term_share
                })
                .collect()
        })
        .collect()
    }

    /// Resets all counts, as before the first sample.
    pub fn clear(&mut self) {
        self.medium_term.clear();
        self.short_term.clear();
        self.long_term.clear();
        self.updated_at = None;
    }
}
