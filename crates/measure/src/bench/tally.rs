use std::{collections::BTreeMap, ops::Range, time::Duration};

use conf::Priority;
use hdrhistogram::Histogram;

/// Longest time to a first token that is told apart, in milliseconds.
const LONGEST: u64 = 60_000;

/// One caller's request and what became of it; times count from the start of the run.
#[derive(Clone, Debug)]
pub(crate) struct Outcome {
    pub(crate) team: &'static str,
    pub(crate) priority: Priority,
    pub(crate) arrived: Duration,
    pub(crate) first: Option<Duration>,
    pub(crate) answered: Option<Duration>,
    /// Final refusals that its caller got.
    pub(crate) refused: u32,
    /// Whether an answer was cut after it had begun.
    pub(crate) cut: bool,
}

/// What came out of a run.
#[derive(Debug)]
pub(crate) struct Tally {
    pub(crate) outcomes: Vec<Outcome>,
    /// Refusals by agents, by when.
    pub(crate) agent_refusals: Vec<Duration>,
    pub(crate) deaths: u64,
    /// Most requests at an endpoint beyond what it bore.
    pub(crate) over: u32,
    pub(crate) hits: f64,
    /// Longest wait for a final refusal.
    pub(crate) slowest_refusal: Duration,
    /// When each endpoint of the returning zone first had its full limit again.
    pub(crate) full_again: Option<Duration>,
    /// Latest new work at an endpoint of the zone that is out.
    pub(crate) last_out: Option<Duration>,
}

/// Figures of the requests that arrived in a part of a run.
#[derive(Debug)]
pub(crate) struct Window {
    /// Answered part of the requests, by priority.
    pub(crate) answered: BTreeMap<Priority, f64>,
    /// Whole answers to drafts a second.
    pub(crate) goodput: f64,
    /// Drafts asked for a second.
    pub(crate) offered: f64,
    pub(crate) p50: Duration,
    pub(crate) p95: Duration,
    pub(crate) refused_per_answer: f64,
    pub(crate) agent_refused_per_answer: f64,
    pub(crate) cut: usize,
}

impl Tally {
    pub(crate) fn window(&self, range: Range<Duration>) -> Window {
        let seconds = (range.end - range.start).as_secs_f64();
        let inside: Vec<_> = self
            .outcomes
            .iter()
            .filter(|o| range.contains(&o.arrived))
            .collect();
        let mut counts: BTreeMap<Priority, (f64, f64)> = BTreeMap::new();
        let mut first = Histogram::<u64>::new_with_bounds(1, LONGEST, 3)
            .unwrap_or_else(|e| unreachable!("{e}"));
        for outcome in &inside {
            let (all, answered) = counts.entry(outcome.priority).or_default();
            *all += 1.0;
            *answered += f64::from(u8::from(outcome.answered.is_some()));
            if let (Some(at), true) = (outcome.first, outcome.priority != Priority::High) {
                first.saturating_record(millis(at - outcome.arrived));
            }
        }
        let drafts = self
            .outcomes
            .iter()
            .filter(|o| o.priority != Priority::High);
        let ended = drafts.filter_map(|o| o.answered);
        let goodput = ended.filter(|at| range.contains(at)).count() as f64 / seconds;
        let offered = inside.iter().filter(|o| o.priority != Priority::High);
        let answers = inside
            .iter()
            .filter(|o| o.answered.is_some())
            .count()
            .max(1) as f64;
        let refused: u32 = inside.iter().map(|o| o.refused).sum();
        let by_agents = self.agent_refusals.iter().filter(|at| range.contains(*at));
        Window {
            answered: counts
                .into_iter()
                .map(|(p, (all, ok))| (p, ok / all))
                .collect(),
            goodput,
            offered: offered.count() as f64 / seconds,
            p50: Duration::from_millis(first.value_at_quantile(0.5)),
            p95: Duration::from_millis(first.value_at_quantile(0.95)),
            refused_per_answer: f64::from(refused) / answers,
            agent_refused_per_answer: by_agents.count() as f64 / answers,
            cut: inside.iter().filter(|o| o.cut).count(),
        }
    }

    /// Returns the answered part of a team's drafts in a part of a run.
    pub(crate) fn team(&self, large: bool, range: &Range<Duration>) -> f64 {
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

    /// Returns how long after `from` the first five seconds begin in which nearly all requests
    /// that arrive are answered; `None` if there are none.
    pub(crate) fn steady(&self, from: Duration, end: Duration) -> Option<Duration> {
        let mut good = 0;
        let second = Duration::from_secs(1);
        let mut at = from;
        while at + second <= end {
            let window = self.window(at..at + second);
            let well = window.answered.values().all(|share| *share >= 0.99);
            good = if well { good + 1 } else { 0 };
            at += second;
            if good == 5 {
                return Some(at - second * 5 - from);
            }
        }
        None
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX).max(1)
}
