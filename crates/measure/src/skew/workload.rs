use expert::{Shape, Speed};
use rand::{RngExt as _, seq::SliceRandom as _};
use rand_chacha::ChaCha8Rng;

/// Intervals of a course.
pub(crate) const INTERVALS: usize = 60;
/// Exponent of the popularity of experts by their place.
const EXPONENT: f64 = 0.7;
/// Standard deviation of the change of an expert's log popularity in one interval.
const DRIFT: f64 = 0.04;
/// Interval of the sudden change.
const CHANGE: usize = 30;
/// Intervals for which each language lasts.
const LANGUAGE: usize = 12;
/// Interval from which a rank is slow, and its speed.
const SLOW: (usize, f64) = (15, 0.7);
/// Intervals in which a rank is lost.
const LOST: std::ops::Range<usize> = 20..40;

/// How popularity and ranks change in a course.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Workload {
    Drift,
    Change,
    Languages,
    SlowRank,
    LostRank,
    Noise,
}

impl Workload {
    pub(crate) const ALL: [Self; 6] = [
        Self::Drift,
        Self::Change,
        Self::Languages,
        Self::SlowRank,
        Self::LostRank,
        Self::Noise,
    ];

    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Drift => "drift",
            Self::Change => "change",
            Self::Languages => "languages",
            Self::SlowRank => "slow-rank",
            Self::LostRank => "lost-rank",
            Self::Noise => "noise",
        }
    }

    /// Returns the speeds of the ranks in an interval.
    pub(crate) fn speeds(self, ranks: usize, interval: usize) -> Vec<Speed> {
        let mut speeds = vec![Some(1.0); ranks];
        if self == Self::SlowRank && interval >= SLOW.0 {
            speeds[0] = Some(SLOW.1);
        }
        if self == Self::LostRank && LOST.contains(&interval) {
            speeds[0] = None;
        }
        speeds
    }
}

/// Popularity of all experts, layer by layer, as it changes.
pub(crate) struct Season {
    workload: Workload,
    shape: Shape,
    logs: Vec<f64>,
    other: Vec<f64>,
}

impl Season {
    pub(crate) fn new(workload: Workload, shape: Shape, random: &mut ChaCha8Rng) -> Self {
        Self {
            workload,
            shape,
            logs: draw(shape, random),
            other: draw(shape, random),
        }
    }

    /// Goes on to an interval.
    pub(crate) fn enter(&mut self, interval: usize, random: &mut ChaCha8Rng) {
        match self.workload {
            Workload::Drift => {
                self.logs
                    .iter_mut()
                    .for_each(|l| *l += DRIFT * normal(random));
            }
            Workload::Change if interval == CHANGE => {
                std::mem::swap(&mut self.logs, &mut self.other);
            }
            Workload::Languages if interval > 0 && interval.is_multiple_of(LANGUAGE) => {
                std::mem::swap(&mut self.logs, &mut self.other);
            }
            _ => {}
        }
    }

    /// Returns the share of each expert, in sum 1 for each layer.
    pub(crate) fn shares(&self) -> Vec<f64> {
        let mut shares: Vec<f64> = self.logs.iter().map(|l| l.exp()).collect();
        for layer in shares.chunks_mut(self.shape.experts) {
            let total: f64 = layer.iter().sum();
            layer.iter_mut().for_each(|s| *s /= total);
        }
        shares
    }
}

fn draw(shape: Shape, random: &mut ChaCha8Rng) -> Vec<f64> {
    let mut logs = Vec::with_capacity(shape.counters());
    for _ in 0..shape.layers {
        let mut places: Vec<usize> = (1..=shape.experts).collect();
        places.shuffle(random);
        logs.extend(places.iter().map(|p| -EXPONENT * (*p as f64).ln()));
    }
    logs
}

/// Draws from the standard normal distribution.
pub(crate) fn normal(random: &mut ChaCha8Rng) -> f64 {
    let radius = (-2.0 * (1.0 - random.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * random.random::<f64>()).cos()
}
