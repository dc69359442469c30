use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use conf::id;
use fleet::Engine;
use tokio::time::Instant;

/// Longest gap that a pass explains; a longer one is a stall.
const MAX_GAP: Duration = Duration::from_millis(400);
/// Shortest gap that counts, as a part of the duration of an empty pass. Shorter ones follow a late read or come
/// before the end of a stream.
const MIN_GAP: f64 = 0.5;
/// Time within which gaps count as those of one pass, as a part of the duration of an empty pass. The next pass
/// takes at least that duration, so that gaps within less belong together.
const PASS_SPREAD: f64 = 0.75;
/// Maximum number of gaps of one pass that are kept; the median of so many is hardly different from that of all.
const MAX_GAPS: usize = 32;
/// Least load by which the cost of a request is calculated, in requests per engine. A smaller divisor multiplies
/// the jitter of the delivery.
const MIN_LOAD: f64 = 1.0;
/// Time over which the recent cost is averaged, and the longest time between two passes that follow each other.
const RECENT: Duration = Duration::from_millis(500);
/// Time for which the highest cost counts.
const MEMORY: Duration = Duration::from_secs(20);
/// Least and greatest age of a prediction when it is compared with a pass.
const PREDICTION_AGE: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(300));
/// Part of the gap target that a pass may last; the rest is for the delivery of its events.
const COMFORT: f64 = 0.95;
/// Least comfortable load, as a part of the slots.
const MIN_COMFORT: f64 = 0.5;

/// Predicts how long the passes of each group of engines last.
///
/// A pass lasts a published base and a cost for each request in flight on an engine, averaged over the group. The
/// cost depends on how evenly the experts are loaded, and is measured by the gaps between the events of streams.
/// Engines of a service whose group is not known count as one group.
#[derive(Clone, Debug, Default)]
pub struct Forecast {
    groups: HashMap<group::Key, Record>,
    /// Engines without a known group, by service.
    unknown: HashMap<id::Service, Record>,
}

impl Forecast {
    /// Creates a forecast that knows nothing.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the time between two events of a stream, while the group had `load` requests per engine.
    ///
    /// Returns, at most once for each pass, how far its duration was from what had been predicted 100 to 300 ms
    /// before it.
    pub fn record_gap(
        &mut self,
        service: &id::Service,
        group: Option<&group::Key>,
        engine: &Engine,
        gap: Duration,
        load: f64,
        now: Instant,
    ) -> Option<Duration> {
        let base = base(engine);
        if gap > MAX_GAP || gap < base.mul_f64(MIN_GAP) || load <= 0.0 {
            return None;
        }
        let record = match group {
            Some(key) => self.groups.entry(key.clone()).or_default(),
            None => self.unknown.entry(service.clone()).or_default(),
        };
        let error = record.close_pass(engine, load, now);
        let cost = (gap.as_secs_f64() - base.as_secs_f64()) / load.max(MIN_LOAD);
        let open = record.open.get_or_insert_with(|| Open {
            at: now,
            until: now + base.mul_f64(PASS_SPREAD),
            gaps: Vec::new(),
        });
        if open.gaps.len() < MAX_GAPS {
            open.gaps.push((gap, cost.max(min_cost(engine))));
        }
        error
    }

    /// Returns the predicted duration of a pass with `load` requests per engine.
    ///
    /// It follows from the cost of the last 0.5 s, else from the highest one of the last 20 s, else from the
    /// published one.
    #[must_use]
    pub fn pass(
        &self,
        service: &id::Service,
        group: Option<&group::Key>,
        engine: &Engine,
        load: f64,
        now: Instant,
    ) -> Duration {
        let record = self.record(service, group);
        let cost = record.and_then(|r| r.recent_cost(now).or_else(|| r.highest_cost(now)));
        predict(engine, cost, load)
    }

    /// Returns the highest time that a request added to two consecutive passes or more within the last 20 s;
    /// `None` if it is not known.
    #[must_use]
    pub fn cost(
        &self,
        service: &id::Service,
        group: Option<&group::Key>,
        now: Instant,
    ) -> Option<Duration> {
        let cost = self.record(service, group)?.highest_cost(now)?;
        Some(Duration::from_secs_f64(cost))
    }

    /// Returns the largest number of requests per engine at which passes meet a gap target at the highest cost of
    /// the last 20 s, between half of the slots and all slots; all slots if that cost is not known.
    ///
    /// `slots` is the average per engine of the group.
    #[must_use]
    pub fn comfortable_load(
        &self,
        service: &id::Service,
        group: Option<&group::Key>,
        engine: &Engine,
        slots: f64,
        gap_target: Duration,
        now: Instant,
    ) -> f64 {
        let Some(cost) = self.cost(service, group, now) else {
            return slots;
        };
        let cost = cost.as_secs_f64().max(min_cost(engine));
        let room = gap_target.mul_f64(COMFORT).saturating_sub(base(engine));
        if cost <= 0.0 {
            return slots;
        }
        (room.as_secs_f64() / cost)
            .min(slots)
            .max(slots * MIN_COMFORT)
    }

    /// Removes the groups of which no gap was recorded within the last 20 s.
    pub fn remove_expired(&mut self, now: Instant) {
        let is_known = |record: &Record| {
            record
                .last_at()
                .is_some_and(|at| now.duration_since(at) < MEMORY)
        };
        self.groups.retain(|_, record| is_known(record));
        self.unknown.retain(|_, record| is_known(record));
    }

    fn record(&self, service: &id::Service, group: Option<&group::Key>) -> Option<&Record> {
        match group {
            Some(key) => self.groups.get(key),
            None => self.unknown.get(service),
        }
    }
}

/// Passes of one group; costs are in seconds per request.
#[derive(Clone, Debug, Default)]
struct Record {
    open: Option<Open>,
    /// Times and costs of the passes of the last 0.5 s.
    recent: VecDeque<(Instant, f64)>,
    /// Costs that two consecutive passes had at least, in descending order, and the time of the later pass.
    highest: VecDeque<(Instant, f64)>,
    /// Predicted durations and the times of the predictions.
    predictions: VecDeque<(Instant, Duration)>,
}

/// Pass of which gaps are still coming in.
#[derive(Clone, Debug)]
struct Open {
    /// Time of the first gap.
    at: Instant,
    /// Time from which on gaps belong to the next pass.
    until: Instant,
    /// Gaps and the costs that follow from them.
    gaps: Vec<(Duration, f64)>,
}

impl Open {
    /// Returns the median of the gaps, the lower one of two, and its cost.
    fn median(&self) -> Option<(Duration, f64)> {
        let mut gaps = self.gaps.clone();
        gaps.sort_unstable_by_key(|(gap, _)| *gap);
        gaps.get(gaps.len().saturating_sub(1) / 2).copied()
    }
}

impl Record {
    /// Ends the open pass if its time is over, and predicts the next ones; returns how far it was from its own
    /// prediction.
    fn close_pass(&mut self, engine: &Engine, load: f64, now: Instant) -> Option<Duration> {
        let open = self.open.take_if(|open| now >= open.until)?;
        let (measured, cost) = open.median()?;
        if let Some(lasting) = self.lasting_cost(open.at, cost) {
            while self.highest.back().is_some_and(|(_, c)| *c <= lasting) {
                self.highest.pop_back();
            }
            self.highest.push_back((open.at, lasting));
        }
        self.recent.push_back((open.at, cost));
        drop_before(&mut self.recent, now, RECENT);
        drop_before(&mut self.highest, now, MEMORY);
        drop_before(&mut self.predictions, now, RECENT);
        let (least, greatest) = PREDICTION_AGE;
        let is_comparable = |(at, _): &&(Instant, Duration)| {
            let age = open.at.saturating_duration_since(*at);
            age >= least && age <= greatest
        };
        let predicted = self.predictions.iter().rev().find(is_comparable);
        let error = predicted.map(|(_, predicted)| predicted.abs_diff(measured));
        if let Some(cost) = self.recent_cost(now) {
            let prediction = predict(engine, Some(cost), load);
            self.predictions.push_back((now, prediction));
        }
        error
    }

    /// Returns the cost that a pass and the one before it had at least.
    fn lasting_cost(&self, at: Instant, cost: f64) -> Option<f64> {
        let (previous_at, previous) = self.recent.back()?;
        (at.saturating_duration_since(*previous_at) <= RECENT).then(|| cost.min(*previous))
    }

    /// Returns the open pass and its cost if no more gaps of it are expected.
    fn ended_pass(&self, now: Instant) -> Option<(Instant, f64)> {
        let open = self.open.as_ref().filter(|open| now >= open.until)?;
        Some((open.at, open.median()?.1))
    }

    /// Returns the mean cost of the last 0.5 s.
    fn recent_cost(&self, now: Instant) -> Option<f64> {
        let passes = self.recent.iter().copied().chain(self.ended_pass(now));
        let is_recent = |(at, _): &(Instant, f64)| now.saturating_duration_since(*at) <= RECENT;
        let (sum, count) = passes
            .filter(is_recent)
            .fold((0.0, 0_u32), |(sum, count), (_, cost)| {
                (sum + cost, count + 1)
            });
        (count > 0).then(|| sum / f64::from(count))
    }

    /// Returns the highest cost of the last 20 s that two consecutive passes had.
    fn highest_cost(&self, now: Instant) -> Option<f64> {
        let ended = self
            .ended_pass(now)
            .and_then(|(at, cost)| Some((at, self.lasting_cost(at, cost)?)));
        let is_remembered = |(at, _): &(Instant, f64)| now.saturating_duration_since(*at) < MEMORY;
        // The first one that is remembered is the highest one.
        let remembered = self.highest.iter().copied().find(is_remembered);
        let costs = remembered.into_iter().chain(ended.filter(is_remembered));
        costs.map(|(_, cost)| cost).reduce(f64::max)
    }

    /// Returns the time of the last pass.
    fn last_at(&self) -> Option<Instant> {
        let open = self.open.as_ref().map(|open| open.at);
        open.or_else(|| self.recent.back().map(|(at, _)| *at))
    }
}

/// Removes the items that are older than `span`.
fn drop_before<T>(items: &mut VecDeque<(Instant, T)>, now: Instant, span: Duration) {
    while items
        .front()
        .is_some_and(|(at, _)| now.saturating_duration_since(*at) > span)
    {
        items.pop_front();
    }
}

/// Returns the duration of a pass without requests.
fn base(engine: &Engine) -> Duration {
    engine.step_time * engine.steps_per_pass
}

/// Returns the published time that a request adds to a pass, in seconds.
fn min_cost(engine: &Engine) -> f64 {
    (engine.step_time_per_request * engine.steps_per_pass).as_secs_f64()
}

fn predict(engine: &Engine, cost: Option<f64>, load: f64) -> Duration {
    let cost = cost.unwrap_or(0.0).max(min_cost(engine));
    base(engine) + Duration::from_secs_f64(cost * load.max(0.0))
}
