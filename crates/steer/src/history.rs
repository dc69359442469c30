use std::{collections::VecDeque, num::NonZeroUsize, time::Duration};

use tokio::time::Instant;

use crate::{Sample, worker::count_interval};

/// Time for which samples are kept: several report intervals before a change and all that its plans use.
const RETENTION: Duration = Duration::from_secs(2);
/// Report intervals before the notice of a change from which on samples may be from after it.
const CHANGE_INTERVALS: u32 = 3;
/// Ratio of the distance between older and newer samples to that between samples of the same time, above
/// which they disagree. Both distances are equal but for chance while nothing changes.
const DISAGREEMENT_RATIO: f64 = 1.5;
/// Distance between older and newer samples that is tolerated even without sampling noise, for the
/// rounding of counts; distances are from 0 to 1.
const TOLERATED_DISTANCE: f64 = 0.02;
/// Standard deviations by which an expert's share must differ to count as changed: with less, the noise of the
/// newest samples can make a change look later than it was.
const SIGNIFICANCE: f64 = 3.5;

/// Sample of one rank with the time that it covers.
#[derive(Clone, Debug)]
pub(crate) struct Counted {
    pub(crate) sample: Sample,
    /// Earliest time at which a choice in it can have been counted.
    pub(crate) began_at: Instant,
    /// Time of its receipt.
    pub(crate) ended_at: Instant,
}

/// Latest samples of the ranks, in the order of their receipt.
#[derive(Clone, Debug)]
pub(crate) struct History {
    sets: NonZeroUsize,
    samples: VecDeque<Counted>,
    /// Time of the last sample of each rank.
    last: Vec<Option<Instant>>,
}

impl History {
    pub(crate) fn new(sets: NonZeroUsize, ranks: usize) -> Self {
        Self {
            sets,
            samples: VecDeque::new(),
            last: vec![None; ranks],
        }
    }

    /// Adds a sample; the first one of a rank only marks the beginning of the next, since the time
    /// that it covers is unknown.
    pub(crate) fn add(&mut self, rank: usize, sample: &Sample, now: Instant) {
        if self
            .samples
            .back()
            .is_some_and(|last| last.sample.len() != sample.len())
        {
            self.samples.clear();
        }
        let Some(previous) = self.last.get_mut(rank).and_then(|last| last.replace(now)) else {
            return;
        };
        // The previous report may have been under way for longer than this one.
        let shortest = now.checked_sub(count_interval(sample.len()));
        self.samples.push_back(Counted {
            sample: sample.clone(),
            began_at: shortest.map_or(previous, |shortest| previous.min(shortest)),
            ended_at: now,
        });
        let expired = |counted: &Counted| now.duration_since(counted.ended_at) > RETENTION;
        while self.samples.front().is_some_and(expired) {
            self.samples.pop_front();
        }
    }

    /// Returns the samples that were counted entirely after a time, in the order of their receipt.
    pub(crate) fn since(&self, time: Instant) -> impl Iterator<Item = &Counted> {
        self.samples
            .iter()
            .filter(move |counted| counted.began_at >= time)
    }

    /// Discards the samples that were counted in part before a time.
    pub(crate) fn discard_before(&mut self, time: Instant) {
        self.samples.retain(|counted| counted.began_at >= time);
    }

    /// Returns the time of the newest sample.
    pub(crate) fn newest(&self) -> Option<Instant> {
        Some(self.samples.back()?.ended_at)
    }

    /// Returns the median time that a sample covers; zero without samples.
    pub(crate) fn interval(&self) -> Duration {
        let mut spans: Vec<Duration> = self.samples.iter().map(Counted::span).collect();
        let middle = spans.len() / 2;
        if spans.is_empty() {
            return Duration::ZERO;
        }
        *spans.select_nth_unstable(middle).1
    }

    /// Returns whether the newer half of the samples of the last two intervals that began after a time
    /// differs from the older half by more than sampling noise.
    pub(crate) fn is_changing(&self, since: Option<Instant>, now: Instant) -> bool {
        let window = self.interval() * 2;
        let recent: Vec<&Counted> = self
            .samples
            .iter()
            .filter(|counted| now.duration_since(counted.ended_at) < window)
            .filter(|counted| since.is_none_or(|since| counted.began_at >= since))
            .collect();
        let (older, newer) = recent.split_at(recent.len() / 2);
        let every_other = |offset: usize| recent.iter().skip(offset).step_by(2).copied();
        let change = self.distance(older.iter().copied(), newer.iter().copied());
        let noise = self.distance(every_other(0), every_other(1));
        change > DISAGREEMENT_RATIO * noise + TOLERATED_DISTANCE
    }

    /// Estimates when the demand changed, for a change noticed at a time; `None` if there are too few
    /// samples from before it.
    ///
    /// Fits, by least squares, scores that rise in each sample by the share of its time after the
    /// change. The result is the beginning of a sample, or `now` if the change is too recent for any
    /// sample to begin after it.
    pub(crate) fn changed_at(&self, noticed_at: Instant, now: Instant) -> Option<Instant> {
        let interval = self.interval();
        let earliest = noticed_at.checked_sub(interval * CHANGE_INTERVALS)?;
        let old = self.counts(self.samples.iter().filter(|c| c.ended_at <= earliest))?;
        let is_new = |c: &&Counted| now.duration_since(c.ended_at) < interval / 2;
        let new = self.counts(self.samples.iter().filter(is_new))?;
        let sets = old.iter().zip(&new);
        let weights: Vec<f64> = sets.flat_map(|(old, new)| weigh(old, new)).collect();
        if weights.iter().all(|weight| *weight == 0.0) {
            return None;
        }
        let fitted: Vec<(&Counted, f64)> = self
            .samples
            .iter()
            .filter(|counted| counted.ended_at + interval > earliest)
            .filter_map(|counted| Some((counted, counted.sample.score(&weights)?)))
            .collect();
        let mut times: Vec<Instant> = fitted.iter().map(|(c, _)| c.began_at).collect();
        times.retain(|time| *time >= earliest);
        times.push(now);
        times.sort_unstable();
        times.dedup();
        let errors: Vec<f64> = times.iter().map(|time| fit_error(&fitted, *time)).collect();
        let least = errors.iter().copied().fold(f64::INFINITY, f64::min);
        // The bound of a likelihood ratio test at two standard deviations.
        let bound = least * (1.0 + 4.0 / fitted.len() as f64) + 1e-9;
        let fits = times.iter().zip(&errors).rev();
        fits.into_iter()
            .find(|(_, error)| **error <= bound)
            .map(|(time, _)| *time)
    }

    /// Returns the total variation distance between two groups of samples, averaged over the sets; zero
    /// if one of them has no counts.
    fn distance<'a>(
        &self,
        one: impl Iterator<Item = &'a Counted>,
        other: impl Iterator<Item = &'a Counted>,
    ) -> f64 {
        let (Some(one), Some(other)) = (self.shares(one), self.shares(other)) else {
            return 0.0;
        };
        let differences = one.iter().zip(&other).map(|(a, b)| (a - b).abs());
        differences.sum::<f64>() / 2.0 / self.sets.get() as f64
    }

    /// Returns the count of each expert, by set; `None` without samples.
    pub(crate) fn counts<'a>(
        &self,
        samples: impl Iterator<Item = &'a Counted>,
    ) -> Option<Vec<Vec<f64>>> {
        let mut sums: Vec<f64> = Vec::new();
        for counted in samples {
            sums.resize(counted.sample.len(), 0.0);
            let counts = counted.sample.counts();
            sums.iter_mut().zip(counts).for_each(|(sum, n)| *sum += n);
        }
        let experts = NonZeroUsize::new(sums.len() / self.sets)?;
        Some(sums.chunks(experts.get()).map(<[f64]>::to_vec).collect())
    }

    /// Returns the share of each expert in the choices of its set; `None` without counts.
    fn shares<'a>(&self, samples: impl Iterator<Item = &'a Counted>) -> Option<Vec<f64>> {
        let mut sets = self.counts(samples)?;
        for set in &mut sets {
            let total: f64 = set.iter().sum();
            set.iter_mut()
                .for_each(|count| *count /= total.max(f64::MIN_POSITIVE));
        }
        let shares = sets.concat();
        shares.iter().any(|share| *share > 0.0).then_some(shares)
    }
}

impl Counted {
    fn span(&self) -> Duration {
        self.ended_at.duration_since(self.began_at)
    }

    /// Returns the share of the sample's time that lies after a time.
    fn share_after(&self, time: Instant) -> f64 {
        let after = self.ended_at.saturating_duration_since(time);
        let span = self.span().max(Duration::from_micros(1));
        (after.as_secs_f64() / span.as_secs_f64()).min(1.0)
    }
}

/// Returns the difference of each expert's share of the choices in a set, relative to the sum of both
/// shares; zero where sampling noise may explain it.
fn weigh(old: &[f64], new: &[f64]) -> Vec<f64> {
    let total = |counts: &[f64]| counts.iter().sum::<f64>().max(1.0);
    let (old_total, new_total) = (total(old), total(new));
    let pairs = old.iter().zip(new);
    let weights = pairs.map(|(old, new)| {
        let variance = old / old_total.powi(2) + new / new_total.powi(2);
        let (old, new) = (old / old_total, new / new_total);
        if (new - old).abs() > SIGNIFICANCE * variance.sqrt() {
            (new - old) / (new + old)
        } else {
            0.0
        }
    });
    weights.collect()
}

/// Returns the sum of the squared errors of the best linear function from the share of each sample's
/// time after a change at `time` to its score.
fn fit_error(fitted: &[(&Counted, f64)], time: Instant) -> f64 {
    let count = fitted.len() as f64;
    let pairs = || {
        let share = |(counted, score): &(&Counted, f64)| (counted.share_after(time), *score);
        fitted.iter().map(share)
    };
    let mean_share = pairs().map(|(share, _)| share).sum::<f64>() / count;
    let mean_score = pairs().map(|(_, score)| score).sum::<f64>() / count;
    let (mut shares, mut both, mut scores) = (0.0, 0.0, 0.0);
    for (share, score) in pairs() {
        shares += (share - mean_share).powi(2);
        both += (share - mean_share) * (score - mean_score);
        scores += (score - mean_score).powi(2);
    }
    let explained = if shares > 0.0 {
        both * both / shares
    } else {
        0.0
    };
    scores - explained
}
