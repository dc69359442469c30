use std::{num::NonZeroUsize, time::Duration};

use tokio::time::Instant;

use crate::{Sample, history::History};

/// Minimum interval between two checks on reports of ranks other than the first; a check takes about a
/// millisecond of processor time.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Time after which a change that could not be answered, as for lack of choices, is no longer treated
/// as sudden.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for which a plan waits for samples that agree; after it, the newest samples alone are used.
const MAX_DISAGREEMENT: Duration = Duration::from_secs(1);

/// Sudden change of demand that has not been answered in full.
#[derive(Clone, Copy, Debug)]
struct Change {
    noticed_at: Instant,
    /// Time of the change, once the first response was planned.
    changed_at: Option<Instant>,
}

/// What the leader knows of the longest pauses that routes allow and of sudden changes of demand.
#[derive(Debug, Default)]
pub(crate) struct Relief {
    /// Duration of a pass of idle engines.
    base_pass_time: Duration,
    /// Tightest gap target of the service's routes; without one, relief does not take effect.
    gap_target: Option<Duration>,
    /// Whether the group has too many counts to compare its samples.
    is_too_large: bool,
    history: Option<History>,
    change: Option<Change>,
    checked_at: Option<Instant>,
    /// Time since which a plan waits for samples that agree.
    waiting_since: Option<Instant>,
    /// Skew at the beginning of the current measurement of passes, and the mean skew during the last one.
    skew_at_start: Option<f64>,
    measured_skew: Option<f64>,
}

impl Relief {
    pub(crate) fn set_gap_target(&mut self, base_pass_time: Duration, target: Option<Duration>) {
        self.base_pass_time = base_pass_time;
        self.gap_target = target;
        if target.is_none() {
            self.reset();
        }
    }

    /// Discards all samples and the change, as when the group forms again.
    pub(crate) fn reset(&mut self) {
        *self = Self {
            base_pass_time: self.base_pass_time,
            gap_target: self.gap_target,
            ..Self::default()
        };
    }

    pub(crate) const fn is_configured(&self) -> bool {
        self.gap_target.is_some() && !self.is_too_large
    }

    /// Records a sample, if a route states a longest pause.
    pub(crate) fn record(
        &mut self,
        (rank, ranks): (usize, usize),
        max_counts: usize,
        sets: NonZeroUsize,
        sample: &Sample,
        now: Instant,
    ) {
        self.is_too_large = ranks.saturating_mul(sample.len()) > max_counts;
        if self.is_configured() {
            let history = self
                .history
                .get_or_insert_with(|| History::new(sets, ranks));
            history.add(rank, sample, now);
        }
    }

    /// Returns whether a check on a report of a rank other than the first is due.
    pub(crate) fn is_check_due(&self, now: Instant) -> bool {
        let recent = |at: Instant| now.duration_since(at) < CHECK_INTERVAL;
        self.is_configured() && !self.checked_at.is_some_and(recent)
    }

    pub(crate) const fn record_check(&mut self, now: Instant) {
        self.checked_at = Some(now);
    }

    /// Records the skew at the end of one measurement of passes and the beginning of the next.
    pub(crate) fn record_measurement(&mut self, skew: Option<f64>) {
        let both = self.skew_at_start.zip(skew);
        self.measured_skew = both.map(|(start, end)| f64::midpoint(start, end)).or(skew);
        self.skew_at_start = skew;
    }

    /// Returns the duration of a pass at a skew, given the last measured one.
    pub(crate) fn predict_pass(&self, measured: Duration, skew: Option<f64>) -> Duration {
        let ratio = match (skew, self.measured_skew) {
            (Some(now), Some(then)) if then > 0.0 => now / then,
            _ => return measured,
        };
        let base = self.base_pass_time.min(measured);
        base + (measured - base).mul_f64(ratio)
    }

    /// Returns whether a pass of this duration exceeds a share of the tightest gap target.
    pub(crate) fn is_needed(&self, pass: Duration, gap_share: f64) -> bool {
        self.is_configured()
            && self
                .gap_target
                .is_some_and(|target| pass > target.mul_f64(gap_share))
    }

    /// Returns whether a sudden change has not been answered in full.
    pub(crate) fn has_change(&mut self, now: Instant) -> bool {
        let lapsed = |c: &Change| now.duration_since(c.noticed_at) > CHANGE_TIMEOUT;
        self.change = self.change.filter(|change| !lapsed(change));
        self.change.is_some()
    }

    /// Returns whether a sudden change still awaits its first response.
    pub(crate) const fn awaits_response(&self) -> bool {
        matches!(
            self.change,
            Some(Change {
                changed_at: None,
                ..
            })
        )
    }

    /// Returns whether a sudden change has had its first response but not its full plan.
    pub(crate) const fn awaits_full_plan(&self) -> bool {
        matches!(
            self.change,
            Some(Change {
                changed_at: Some(_),
                ..
            })
        )
    }

    /// Records a sudden change and returns the age of the newest counts.
    pub(crate) fn begin(&mut self, now: Instant) -> Option<Duration> {
        self.change = Some(Change {
            noticed_at: now,
            changed_at: None,
        });
        self.waiting_since = None;
        let newest = self.history.as_ref()?.newest()?;
        Some(now.duration_since(newest))
    }

    /// Returns the time such that samples that began since are from after the sudden change and agree
    /// with each other; `None` if there are none yet.
    pub(crate) fn settled_since(&mut self, now: Instant) -> Option<Instant> {
        let change = self.change?;
        let history = self.history.as_ref()?;
        let since = change
            .changed_at
            .or_else(|| history.changed_at(change.noticed_at, now))
            .unwrap_or(change.noticed_at);
        self.settle(Some(since), now).map(|at| at.unwrap_or(since))
    }

    /// Returns whether the newest samples agree with those before them, so that a plan may begin, or
    /// the time from which samples are to be used alone; `None` if the plan has to wait.
    pub(crate) fn settle(
        &mut self,
        since: Option<Instant>,
        now: Instant,
    ) -> Option<Option<Instant>> {
        let Some(history) = &self.history else {
            return Some(None);
        };
        if !history.is_changing(since, now) {
            self.waiting_since = None;
            return Some(None);
        }
        let waiting_since = *self.waiting_since.get_or_insert(now);
        // A sample that ended in the last interval began in the last two.
        let newest = now.checked_sub(history.interval() * 2);
        (now.duration_since(waiting_since) >= MAX_DISAGREEMENT).then_some(newest)
    }

    /// Returns the counts of each expert, by set, in the samples that began since a time.
    pub(crate) fn counts(&self, since: Instant) -> Option<Vec<Vec<f64>>> {
        let history = self.history.as_ref()?;
        history.counts(history.since(since))
    }

    /// Records that the first response was planned, or is not worth its copies.
    pub(crate) const fn respond(&mut self, changed_at: Instant) {
        if let Some(change) = &mut self.change {
            change.changed_at = Some(changed_at);
        }
    }

    /// Ends the sudden change and returns the samples from after it, with the times of their receipt.
    pub(crate) fn finish(&mut self, since: Instant) -> Vec<(Sample, Instant)> {
        self.change = None;
        let Some(history) = &mut self.history else {
            return Vec::new();
        };
        history.discard_before(since);
        let samples = history.since(since);
        samples.map(|c| (c.sample.clone(), c.ended_at)).collect()
    }
}
