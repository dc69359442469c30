use std::{collections::BTreeMap, ops::Range, time::Duration};

use conf::Priority;
use hdrhistogram::Histogram;

/// Longest time to first token that the histogram resolves, in milliseconds.
const MAX_FIRST_TOKEN_MS: u64 = 60_000;

/// Outcome of one request; times count from the start of the run.
#[derive(Clone, Debug)]
pub(crate) struct Outcome {
    pub(crate) team: &'static str,
    pub(crate) priority: Priority,
    pub(crate) arrived: Duration,
    pub(crate) first_token: Option<Duration>,
    /// When the answer was complete.
    pub(crate) answered: Option<Duration>,
    /// Submissions that the entry rejected.
    pub(crate) rejections: u32,
    /// Whether the answer broke off after its first token, or the deadline passed in the batch of
    /// an engine.
    pub(crate) truncated: bool,
}

/// Results of a run.
#[derive(Debug)]
pub(crate) struct Summary {
    pub(crate) outcomes: Vec<Outcome>,
    /// Times of the agents' refusals, from the start of the run.
    pub(crate) agent_refusals: Vec<Duration>,
    pub(crate) crashes: u64,
    /// Largest number of requests at an endpoint above its limit in force.
    pub(crate) max_excess: u32,
    /// Share of drafts whose prefix was in the engine's cache.
    pub(crate) prefix_hit_ratio: f64,
    /// Longest time from a submission to its rejection, if nothing was run.
    pub(crate) slowest_rejection: Duration,
    /// Time from the zone's return until each of its draft endpoints had its full limit again.
    pub(crate) full_limits_after: Option<Duration>,
    /// Time from the zone's removal until the last admission in it before its return.
    pub(crate) last_admission_in_zone_out: Option<Duration>,
}

/// Statistics of a time window of a run; those of requests cover the ones that arrived in it.
#[derive(Debug)]
pub(crate) struct Window {
    /// Share of requests that were answered, by priority.
    pub(crate) answered_share: BTreeMap<Priority, f64>,
    /// Drafts answered per second, whenever they arrived.
    pub(crate) goodput: f64,
    /// Drafts that arrived per second.
    pub(crate) offered_rate: f64,
    pub(crate) first_token_p50: Duration,
    pub(crate) first_token_p95: Duration,
    pub(crate) rejections_per_answer: f64,
    pub(crate) agent_refusals_per_answer: f64,
    pub(crate) truncated: usize,
}

impl Summary {
    pub(crate) fn window(&self, range: Range<Duration>) -> Window {
        let seconds = (range.end - range.start).as_secs_f64();
        let inside: Vec<_> = self
            .outcomes
            .iter()
            .filter(|o| range.contains(&o.arrived))
            .collect();
        let mut counts: BTreeMap<Priority, (f64, f64)> = BTreeMap::new();
        let mut latencies = Histogram::<u64>::new_with_bounds(1, MAX_FIRST_TOKEN_MS, 3)
            .unwrap_or_else(|e| unreachable!("{e}"));
        for outcome in &inside {
            let (all, answered) = counts.entry(outcome.priority).or_default();
            *all += 1.0;
            *answered += f64::from(u8::from(outcome.answered.is_some()));
            if let (Some(at), true) = (outcome.first_token, outcome.priority != Priority::High) {
                latencies.saturating_record(millis(at - outcome.arrived));
            }
        }
        let drafts = self
            .outcomes
            .iter()
            .filter(|o| o.priority != Priority::High);
        let answered_at = drafts.filter_map(|o| o.answered);
        let goodput = answered_at.filter(|at| range.contains(at)).count() as f64 / seconds;
        let offered = inside.iter().filter(|o| o.priority != Priority::High);
        let answers = inside
            .iter()
            .filter(|o| o.answered.is_some())
            .count()
            .max(1) as f64;
        let rejections: u32 = inside.iter().map(|o| o.rejections).sum();
        let agent_refusals = self.agent_refusals.iter().filter(|at| range.contains(*at));
        Window {
            answered_share: counts
                .into_iter()
                .map(|(p, (all, ok))| (p, ok / all))
                .collect(),
            goodput,
            offered_rate: offered.count() as f64 / seconds,
            first_token_p50: Duration::from_millis(latencies.value_at_quantile(0.5)),
            first_token_p95: Duration::from_millis(latencies.value_at_quantile(0.95)),
            rejections_per_answer: f64::from(rejections) / answers,
            agent_refusals_per_answer: agent_refusals.count() as f64 / answers,
            truncated: inside.iter().filter(|o| o.truncated).count(),
        }
    }

    /// Returns the share of drafts answered, for the team `large` or for all other teams together.
    pub(crate) fn team_answered_share(&self, large: bool, range: &Range<Duration>) -> f64 {
        let of_team = self.outcomes.iter().filter(|o| {
            (o.team == "large") == large
                && o.priority != Priority::High
                && range.contains(&o.arrived)
        });
        let (all, ok) = of_team.fold((0_u32, 0_u32), |(all, ok), o| {
            (all + 1, ok + u32::from(o.answered.is_some()))
        });
        f64::from(ok) / f64::from(all.max(1))
    }

    /// Returns the time from `from` to the first five consecutive seconds in each of which at least
    /// 99% of arriving requests of each priority are answered; `None` if there are none.
    pub(crate) fn steady_after(&self, from: Duration, end: Duration) -> Option<Duration> {
        let mut steady_seconds = 0;
        let second = Duration::from_secs(1);
        let mut at = from;
        while at + second <= end {
            let window = self.window(at..at + second);
            let steady = window.answered_share.values().all(|share| *share >= 0.99);
            steady_seconds = if steady { steady_seconds + 1 } else { 0 };
            at += second;
            if steady_seconds == 5 {
                return Some(at - second * 5 - from);
            }
        }
        None
    }
}

/// Returns a time in milliseconds, at least 1, the lowest value of the histogram.
fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX).max(1)
}
