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
/// Part of the excess of a pass at full slots that does not depend on the requests in flight, such as reading
/// prompts. Under one skew, passes at 6 and at 10 requests per engine lasted 69 and 92 ms beyond their base.
const FIXED_SHARE: f64 = 0.5;
/// Least load from which the excess at full slots is remembered, as a part of the slots: at less load,
/// the estimate is inaccurate, and a load that is known late seems small while it grows.
const MIN_LOAD: f64 = 0.25;
/// Time over which the recent excess is averaged, and the longest time between two passes that follow each other.
const RECENT: Duration = Duration::from_millis(500);
/// Time for which the highest excess counts.
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
/// A pass lasts a published base and an excess, of which a part grows with the requests in flight on an engine,
/// averaged over the group. The excess depends on how evenly the experts are loaded, and is measured by the gaps
/// between the events of streams. Engines of a service whose group is not known count as one group.
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

    /// Records the time between two events of a stream, while the group had `load` requests per engine with
    /// `slots` each.
    ///
    /// Returns, at most once for each pass, how far its duration was from what had been predicted 100 to 300 ms
    /// before it.
    pub fn record_gap(
        &mut self,
        service: &id::Service,
        group: Option<&group::Key>,
        engine: &Engine,
        gap: Duration,
        Load { requests, slots }: Load,
        now: Instant,
    ) -> Option<Duration> {
        let base = base(engine);
        if gap > MAX_GAP || gap < base.mul_f64(MIN_GAP) || requests <= 0.0 || slots <= 0.0 {
            return None;
        }
        let record = match group {
            Some(key) => self.groups.entry(key.clone()).or_default(),
            None => self.unknown.entry(service.clone()).or_default(),
        };
        let error = record.close_pass(engine, Load { requests, slots }, now);
        let excess = (gap.as_secs_f64() - base.as_secs_f64()) / share_at(requests / slots);
        let open = record.open.get_or_insert_with(|| Open {
            at: now,
            until: now + base.mul_f64(PASS_SPREAD),
            is_loaded: requests >= slots * MIN_LOAD,
            gaps: Vec::new(),
        });
        if open.gaps.len() < MAX_GAPS {
            open.gaps.push((gap, excess.max(min_excess(engine, slots))));
        }
        error
    }

    /// Returns the predicted duration of a pass under a load.
    ///
    /// It follows from the excess of the last 0.5 s, else from the highest one of the last 20 s, else from the
    /// published time that each request adds.
    #[must_use]
    pub fn pass(
        &self,
        service: &id::Service,
        group: Option<&group::Key>,
        engine: &Engine,
        load: Load,
        now: Instant,
    ) -> Duration {
        let record = self.record(service, group);
        let excess = record.and_then(|r| r.recent_excess(now).or_else(|| r.highest_excess(now)));
        predict(engine, excess, load)
    }

    /// Returns the highest time by which two consecutive passes or more within the last 20 s would have exceeded
    /// their base with all slots taken; `None` if it is not known.
    #[must_use]
    pub fn peak_excess(
        &self,
        service: &id::Service,
        group: Option<&group::Key>,
        now: Instant,
    ) -> Option<Duration> {
        let excess = self.record(service, group)?.highest_excess(now)?;
        Some(Duration::from_secs_f64(excess))
    }

    /// Returns the largest number of requests per engine at which passes meet a gap target at the highest excess
    /// of the last 20 s, between half of the slots and all slots; all slots if that excess is not known.
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
        let Some(excess) = self.peak_excess(service, group, now) else {
            return slots;
        };
        let excess = excess.as_secs_f64().max(min_excess(engine, slots));
        let room = gap_target.mul_f64(COMFORT).saturating_sub(base(engine));
        if excess <= 0.0 {
            return slots;
        }
        let usage = (room.as_secs_f64() / excess - FIXED_SHARE) / (1.0 - FIXED_SHARE);
        slots * usage.clamp(MIN_COMFORT, 1.0)
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

/// Average load of the engines of a group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Requests in flight per engine.
    pub requests: f64,
    /// Slots per engine.
    pub slots: f64,
}

/// Passes of one group; the excess of a pass is in seconds, with all slots taken.
#[derive(Clone, Debug, Default)]
struct Record {
    open: Option<Open>,
    /// Times and excesses of the passes of the last 0.5 s.
    recent: VecDeque<(Instant, f64)>,
    /// Excesses that two consecutive passes had at least, in descending order, and the time of the later pass.
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
    /// Whether the group has enough requests for the excess to be remembered.
    is_loaded: bool,
    /// Gaps and the excesses that follow from them.
    gaps: Vec<(Duration, f64)>,
}

impl Open {
    /// Returns the median of the gaps, the lower one of two, and its excess.
    fn median(&self) -> Option<(Duration, f64)> {
        let mut gaps = self.gaps.clone();
        gaps.sort_unstable_by_key(|(gap, _)| *gap);
        gaps.get(gaps.len().saturating_sub(1) / 2).copied()
    }
}

impl Record {
    /// Ends the open pass if its time is over, and predicts the next ones; returns how far it was from its own
    /// prediction.
    fn close_pass(&mut self, engine: &Engine, load: Load, now: Instant) -> Option<Duration> {
        let open = self.open.take_if(|open| now >= open.until)?;
        let (measured, excess) = open.median()?;
        let lasting = self.lasting_excess(open.at, excess);
        if let Some(lasting) = lasting.filter(|_| open.is_loaded) {
            while self.highest.back().is_some_and(|(_, c)| *c <= lasting) {
                self.highest.pop_back();
            }
            self.highest.push_back((open.at, lasting));
        }
        self.recent.push_back((open.at, excess));
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
        if let Some(excess) = self.recent_excess(now) {
            let prediction = predict(engine, Some(excess), load);
            self.predictions.push_back((now, prediction));
        }
        error
    }

    /// Returns the excess that a pass and the one before it had at least.
    fn lasting_excess(&self, at: Instant, excess: f64) -> Option<f64> {
        let (previous_at, previous) = self.recent.back()?;
        (at.saturating_duration_since(*previous_at) <= RECENT).then(|| excess.min(*previous))
    }

    /// Returns the open pass and its excess if no more gaps of it are expected.
    fn ended_pass(&self, now: Instant) -> Option<(Instant, f64)> {
        let open = self.open.as_ref().filter(|open| now >= open.until)?;
        Some((open.at, open.median()?.1))
    }

    /// Returns the mean excess of the last 0.5 s.
    fn recent_excess(&self, now: Instant) -> Option<f64> {
        let passes = self.recent.iter().copied().chain(self.ended_pass(now));
        let is_recent = |(at, _): &(Instant, f64)| now.saturating_duration_since(*at) <= RECENT;
        let (sum, count) = passes
            .filter(is_recent)
            .fold((0.0, 0_u32), |(sum, count), (_, excess)| {
                (sum + excess, count + 1)
            });
        (count > 0).then(|| sum / f64::from(count))
    }

    /// Returns the highest excess of the last 20 s that two consecutive passes had.
    fn highest_excess(&self, now: Instant) -> Option<f64> {
        let is_loaded = self.open.as_ref().is_some_and(|open| open.is_loaded);
        let ended = self
            .ended_pass(now)
            .filter(|_| is_loaded)
            .and_then(|(at, excess)| Some((at, self.lasting_excess(at, excess)?)));
        let is_remembered = |(at, _): &(Instant, f64)| now.saturating_duration_since(*at) < MEMORY;
        // The first one that is remembered is the highest one.
        let remembered = self.highest.iter().copied().find(is_remembered);
        let excesses = remembered.into_iter().chain(ended.filter(is_remembered));
        excesses.map(|(_, excess)| excess).reduce(f64::max)
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

/// Returns the published time that as many requests as slots add to a pass, in seconds.
fn min_excess(engine: &Engine, slots: f64) -> f64 {
    (engine.step_time_per_request * engine.steps_per_pass).as_secs_f64() * slots
}

/// Returns the part of the excess at full slots that a pass has when a part `usage` of the slots is taken.
fn share_at(usage: f64) -> f64 {
    FIXED_SHARE + (1.0 - FIXED_SHARE) * usage
}

fn predict(engine: &Engine, excess: Option<f64>, Load { requests, slots }: Load) -> Duration {
    if requests <= 0.0 || slots <= 0.0 {
        return base(engine);
    }
    let excess = excess.unwrap_or(0.0).max(min_excess(engine, slots));
    base(engine) + Duration::from_secs_f64(excess * share_at(requests / slots))
}
