use crate::{Error, ErrorKind, Shape, shape::check_length};

/// Fraction of the earlier tokens that the estimate keeps in each interval without drift, 0 to 1.
const MAX_RETENTION: f64 = 0.8;
/// Excess dispersion above which a layer counts as drifting.
const DRIFT_DISPERSION: f64 = 0.25;

/// Estimate of the popularity of each expert, from cumulative token counters that arrive late.
///
/// The estimate is an exponentially decayed sum of the tokens of each interval. If the newest
/// interval differs from it by no more than sampling noise, it keeps [`MAX_RETENTION`] of the
/// earlier tokens, else less.
#[derive(Clone, Debug)]
pub struct Popularity {
    shape: Shape,
    /// Counters of the previous observation.
    last_counters: Option<Vec<i64>>,
    /// Decayed sum of the tokens of each expert, layer by layer.
    tokens: Vec<f64>,
    /// Excess dispersion of each layer in its newest interval with tokens.
    dispersion: Vec<f64>,
}

impl Popularity {
    /// Creates an estimate without observations, in which all experts are equally popular.
    #[must_use]
    pub fn new(shape: Shape) -> Self {
        Self {
            shape,
            last_counters: None,
            tokens: vec![0.0; shape.counters()],
            dispersion: vec![0.0; shape.layers],
        }
    }

    /// Updates the estimate with cumulative counters, layer by layer; `None` where one is missing.
    ///
    /// # Errors
    ///
    /// Returns an error if a counter is missing, negative or lower than in the previous
    /// observation, or if their number is wrong. The estimate then stays. If a counter is lower,
    /// the next interval is counted from these counters.
    pub fn observe(&mut self, counters: &[Option<i64>]) -> Result<(), Error> {
        check_length(self.shape.counters(), counters.len())?;
        let values = check_counters(counters)?;
        let last = self.last_counters.replace(values.clone());
        let Some(last) = last else {
            let tokens: Vec<f64> = values.iter().map(|v| *v as f64).collect();
            self.add_interval(&tokens);
            return Ok(());
        };
        if let Some(position) = values.iter().zip(&last).position(|(new, old)| new < old) {
            return Err(ErrorKind::DecreasedCounter { position }.into());
        }
        let pairs = values.iter().zip(&last);
        let tokens: Vec<f64> = pairs.map(|(new, old)| (new - old) as f64).collect();
        self.add_interval(&tokens);
        Ok(())
    }

    /// Updates the estimate with the tokens of one interval, layer by layer.
    fn add_interval(&mut self, tokens: &[f64]) {
        let experts = self.shape.experts;
        let layers = self.tokens.chunks_mut(experts).zip(tokens.chunks(experts));
        for ((old, new), dispersion) in layers.zip(&mut self.dispersion) {
            let total: f64 = new.iter().sum();
            if total <= 0.0 {
                continue;
            }
            *dispersion = excess_dispersion(old, new);
            let retention = MAX_RETENTION / (1.0 + *dispersion);
            for (old, new) in old.iter_mut().zip(new) {
                *old = *old * retention + new;
            }
        }
    }

    /// Adds the tokens of an estimate made from other ranks of the group.
    pub fn add(&mut self, other: &Popularity) {
        let tokens = self.tokens.iter_mut().zip(&other.tokens);
        tokens.for_each(|(own, other)| *own += other);
        let dispersion = self.dispersion.iter_mut().zip(&other.dispersion);
        dispersion.for_each(|(own, other)| *own = own.max(*other));
    }

    /// Returns the estimated share of a layer's tokens that each expert receives, in sum 1.
    #[must_use]
    pub fn shares(&self, layer: usize) -> Vec<f64> {
        let tokens = self.layer_tokens(layer);
        let total: f64 = tokens.iter().sum();
        if total <= 0.0 {
            return vec![1.0 / tokens.len() as f64; tokens.len()];
        }
        // Half a token of additive smoothing: an expert without tokens may still receive some
        // later.
        let smoothed_total = total + 0.5 * tokens.len() as f64;
        tokens.iter().map(|t| (t + 0.5) / smoothed_total).collect()
    }

    /// Returns the decayed number of tokens from which a layer is estimated.
    #[must_use]
    pub fn tokens(&self, layer: usize) -> f64 {
        self.layer_tokens(layer).iter().sum()
    }

    /// Returns the share of layers whose popularity changes by more than sampling noise, 0 to 1.
    #[must_use]
    pub fn drift(&self) -> f64 {
        let drifting = self
            .dispersion
            .iter()
            .filter(|d| **d > DRIFT_DISPERSION)
            .count();
        drifting as f64 / self.shape.layers as f64
    }

    fn layer_tokens(&self, layer: usize) -> &[f64] {
        let experts = self.shape.experts;
        &self.tokens[layer * experts..(layer + 1) * experts]
    }
}

fn check_counters(counters: &[Option<i64>]) -> Result<Vec<i64>, Error> {
    let value = |(position, counter): (usize, &Option<i64>)| match counter {
        None => Err(ErrorKind::MissingCounter { position }.into()),
        Some(value) if *value < 0 => Err(ErrorKind::NegativeCounter { position }.into()),
        Some(value) => Ok(*value),
    };
    counters.iter().enumerate().map(value).collect()
}

/// Returns the dispersion between two samples in excess of sampling noise, at least 0.
///
/// This is the two-sample chi-square statistic divided by its degrees of freedom, less its expected
/// value of 1 and three standard deviations.
fn excess_dispersion(old: &[f64], new: &[f64]) -> f64 {
    let (total_old, total_new): (f64, f64) = (old.iter().sum(), new.iter().sum());
    if total_old <= 0.0 || total_new <= 0.0 {
        return 0.0;
    }
    let (old_scale, new_scale) = (
        (total_new / total_old).sqrt(),
        (total_old / total_new).sqrt(),
    );
    let term = |(o, n): (&f64, &f64)| {
        let sum = o + n;
        (sum > 0.0).then(|| (old_scale * o - new_scale * n).powi(2) / sum)
    };
    let terms: Vec<f64> = old.iter().zip(new).filter_map(term).collect();
    let degrees_of_freedom = (terms.len() as f64 - 1.0).max(1.0);
    let statistic = terms.iter().sum::<f64>() / degrees_of_freedom;
    (statistic - 1.0 - 3.0 * (2.0 / degrees_of_freedom).sqrt()).max(0.0)
}
