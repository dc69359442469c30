use expert::{Shape, Speed};
use rand::{RngExt as _, seq::SliceRandom as _};
use rand_chacha::ChaCha8Rng;

/// Number of intervals in a run.
pub(crate) const INTERVALS: usize = 60;
/// Exponent of the Zipf distribution of tokens over the experts of a layer.
const ZIPF_EXPONENT: f64 = 0.7;
/// Standard deviation of the change of an expert's log weight in one interval.
const DRIFT_DEVIATION: f64 = 0.04;
/// Interval at whose start [`Workload::Change`] replaces the distribution.
const CHANGE_INTERVAL: usize = 30;
/// Number of intervals between two language changes.
const LANGUAGE_INTERVALS: usize = 12;
/// First interval in which the slow rank is slow.
const SLOW_FROM_INTERVAL: usize = 15;
/// Relative speed of the slow rank.
const SLOW_SPEED: f64 = 0.7;
/// Intervals in which the lost rank is missing.
const LOST_INTERVALS: std::ops::Range<usize> = 20..40;

/// Scenario of how the popularity of experts and the speed of ranks change in a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Workload {
    /// Random walk of each expert's log weight.
    Drift,
    /// One sudden change of the distribution.
    Change,
    /// Periodic changes between two distributions.
    Languages,
    /// Constant distribution; one rank becomes slow.
    SlowRank,
    /// Constant distribution; one rank is missing for some time.
    LostRank,
    /// Constant distribution; only the sampling of tokens varies.
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
        if self == Self::SlowRank && interval >= SLOW_FROM_INTERVAL {
            speeds[0] = Some(SLOW_SPEED);
        }
        if self == Self::LostRank && LOST_INTERVALS.contains(&interval) {
            speeds[0] = None;
        }
        speeds
    }
}

/// Distribution of tokens over the experts of each layer in the current interval.
pub(crate) struct Distribution {
    workload: Workload,
    shape: Shape,
    /// Logarithms of the experts' unnormalized popularity, layer by layer.
    log_weights: Vec<f64>,
    /// Distribution that [`Workload::Change`] and [`Workload::Languages`] swap in.
    alternate_log_weights: Vec<f64>,
}

impl Distribution {
    pub(crate) fn new(workload: Workload, shape: Shape, random: &mut ChaCha8Rng) -> Self {
        Self {
            workload,
            shape,
            log_weights: draw_log_weights(shape, random),
            alternate_log_weights: draw_log_weights(shape, random),
        }
    }

    /// Applies the change that the workload makes at the start of an interval.
    pub(crate) fn advance_to(&mut self, interval: usize, random: &mut ChaCha8Rng) {
        match self.workload {
            Workload::Drift => {
                self.log_weights
                    .iter_mut()
                    .for_each(|l| *l += DRIFT_DEVIATION * sample_normal(random));
            }
            Workload::Change if interval == CHANGE_INTERVAL => {
                std::mem::swap(&mut self.log_weights, &mut self.alternate_log_weights);
            }
            Workload::Languages if interval > 0 && interval.is_multiple_of(LANGUAGE_INTERVALS) => {
                std::mem::swap(&mut self.log_weights, &mut self.alternate_log_weights);
            }
            _ => {}
        }
    }

    /// Returns the share of each expert, layer by layer; the shares of a layer sum to 1.
    pub(crate) fn shares(&self) -> Vec<f64> {
        let mut shares: Vec<f64> = self.log_weights.iter().map(|l| l.exp()).collect();
        for layer in shares.chunks_mut(self.shape.experts) {
            let total: f64 = layer.iter().sum();
            layer.iter_mut().for_each(|s| *s /= total);
        }
        shares
    }
}

fn draw_log_weights(shape: Shape, random: &mut ChaCha8Rng) -> Vec<f64> {
    let mut log_weights = Vec::with_capacity(shape.counters());
    for _ in 0..shape.layers {
        let mut popularity_ranks: Vec<usize> = (1..=shape.experts).collect();
        popularity_ranks.shuffle(random);
        log_weights.extend(
            popularity_ranks
                .iter()
                .map(|p| -ZIPF_EXPONENT * (*p as f64).ln()),
        );
    }
    log_weights
}

/// Draws from the standard normal distribution by the Box-Muller transform.
pub(crate) fn sample_normal(random: &mut ChaCha8Rng) -> f64 {
    let radius = (-2.0 * (1.0 - random.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * random.random::<f64>()).cos()
}
