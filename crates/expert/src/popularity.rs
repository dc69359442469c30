use crate::{Error, ErrorKind, Shape, shape::check_size};

/// Largest weight that an observation keeps from one interval to the next.
const KEEP: f64 = 0.8;
/// Excess of the observed over the expected scatter at which a layer counts as drifting.
const DRIFT: f64 = 0.25;

/// Estimates the popularity of each expert from cumulative counters that lag.
///
/// What was seen before is kept as far as the newest interval agrees with it: scatter that
/// sampling alone explains keeps [`KEEP`] of it, more scatter keeps less.
#[derive(Clone, Debug)]
pub struct Popularity {
    shape: Shape,
    last: Option<Vec<i64>>,
    tokens: Vec<f64>,
    scatter: Vec<f64>,
}

impl Popularity {
    /// Creates an estimate that knows nothing.
    #[must_use]
    pub fn new(shape: Shape) -> Self {
        Self {
            shape,
            last: None,
            tokens: vec![0.0; shape.counters()],
            scatter: vec![0.0; shape.layers],
        }
    }

    /// Takes in cumulative counters, layer by layer; `None` where one is missing.
    ///
    /// # Errors
    ///
    /// Returns an error if a counter is missing, negative or lower than before, or their number is
    /// wrong. The estimate stays; lower counters become the base of the next interval.
    pub fn observe(&mut self, counters: &[Option<i64>]) -> Result<(), Error> {
        check_size(self.shape.counters(), counters.len())?;
        let values = check(counters)?;
        let last = self.last.replace(values.clone());
        let Some(last) = last else {
            let fresh: Vec<f64> = values.iter().map(|v| *v as f64).collect();
            self.merge(&fresh);
            return Ok(());
        };
        if let Some(position) = values.iter().zip(&last).position(|(new, old)| new < old) {
            return Err(ErrorKind::DecreasedCounter { position }.into());
        }
        let pairs = values.iter().zip(&last);
        let fresh: Vec<f64> = pairs.map(|(new, old)| (new - old) as f64).collect();
        self.merge(&fresh);
        Ok(())
    }

    fn merge(&mut self, fresh: &[f64]) {
        let experts = self.shape.experts;
        let layers = self.tokens.chunks_mut(experts).zip(fresh.chunks(experts));
        for ((old, new), scatter) in layers.zip(&mut self.scatter) {
            let total: f64 = new.iter().sum();
            if total <= 0.0 {
                continue;
            }
            *scatter = excess(old, new);
            let keep = KEEP / (1.0 + *scatter);
            for (old, new) in old.iter_mut().zip(new) {
                *old = *old * keep + new;
            }
        }
    }

    /// Adds the estimate that rests on another part of the group's tokens.
    pub fn add(&mut self, other: &Popularity) {
        let tokens = self.tokens.iter_mut().zip(&other.tokens);
        tokens.for_each(|(own, other)| *own += other);
        let scatter = self.scatter.iter_mut().zip(&other.scatter);
        scatter.for_each(|(own, other)| *own = own.max(*other));
    }

    /// Returns the estimated share of each expert of a layer, in sum 1.
    #[must_use]
    pub fn shares(&self, layer: usize) -> Vec<f64> {
        let tokens = self.layer_tokens(layer);
        let total: f64 = tokens.iter().sum();
        if total <= 0.0 {
            return vec![1.0 / tokens.len() as f64; tokens.len()];
        }
        // Half a token for each expert: never seen is not the same as never asked for.
        let all = total + 0.5 * tokens.len() as f64;
        tokens.iter().map(|t| (t + 0.5) / all).collect()
    }

    /// Returns the number of tokens that the estimate of a layer rests on.
    #[must_use]
    pub fn tokens(&self, layer: usize) -> f64 {
        self.layer_tokens(layer).iter().sum()
    }

    /// Returns the share of layers whose popularity drifts faster than sampling explains.
    #[must_use]
    pub fn drift(&self) -> f64 {
        let drifting = self.scatter.iter().filter(|s| **s > DRIFT).count();
        drifting as f64 / self.shape.layers as f64
    }

    fn layer_tokens(&self, layer: usize) -> &[f64] {
        let experts = self.shape.experts;
        &self.tokens[layer * experts..(layer + 1) * experts]
    }
}

fn check(counters: &[Option<i64>]) -> Result<Vec<i64>, Error> {
    let value = |(position, counter): (usize, &Option<i64>)| match counter {
        None => Err(ErrorKind::MissingCounter { position }.into()),
        Some(value) if *value < 0 => Err(ErrorKind::NegativeCounter { position }.into()),
        Some(value) => Ok(*value),
    };
    counters.iter().enumerate().map(value).collect()
}

/// Returns how far the scatter between two samples exceeds that of sampling; 0 if it does not.
///
/// This is the chi-square statistic of two samples over its degrees of freedom, less 1, and less
/// three standard deviations of that.
fn excess(old: &[f64], new: &[f64]) -> f64 {
    let (total_old, total_new): (f64, f64) = (old.iter().sum(), new.iter().sum());
    if total_old <= 0.0 || total_new <= 0.0 {
        return 0.0;
    }
    let (a, b) = (
        (total_new / total_old).sqrt(),
        (total_old / total_new).sqrt(),
    );
    let term = |(o, n): (&f64, &f64)| {
        let sum = o + n;
        (sum > 0.0).then(|| (a * o - b * n).powi(2) / sum)
    };
    let terms: Vec<f64> = old.iter().zip(new).filter_map(term).collect();
    let freedom = (terms.len() as f64 - 1.0).max(1.0);
    let statistic = terms.iter().sum::<f64>() / freedom;
    (statistic - 1.0 - 3.0 * (2.0 / freedom).sqrt()).max(0.0)
}
