use std::{collections::HashMap, time::Duration};

use conf::id;
use tokio::time::Instant;

use crate::{Shares, share::Count, trend::Trend};

/// Weight of the newest duration in the moving average, 0 to 1.
const NEWEST_WEIGHT: f64 = 0.1;
/// Duration of a request until one has been measured.
const DEFAULT_DURATION: Duration = Duration::from_secs(2);
/// Part of the slots that must be in demand for requests to be rationed.
const MIN_DEMAND: f64 = 1.0;
/// Part of the rate at which the slots become free that entries admit together; the rest works off
/// what waits at the engines.
const ADMITTED_SHARE: f64 = 0.9;
/// Time in which unused admissions add up.
const BURST_TIME: Duration = Duration::from_millis(800);
/// Part of a level's bound, below and above it, within which the probability of admission falls.
const RAMP: f64 = 0.1;
/// Least probability of admission, so that a level does not starve while others alone exceed its bound.
const MIN_PROBABILITY: f64 = 0.05;
/// Number of levels that are distinguished in what was admitted.
const LEVELS: usize = 10;
/// Weight of the newest request in the moving averages of the levels' parts.
const LEVEL_WEIGHT: f64 = 0.05;
/// Part of the load that is not counted for teams within their fair share.
const TEAM_MARGIN: f64 = 0.1;
/// Part of a step between two levels by which the bound of clients that retry is larger.
const RETRY_STEP: f64 = 0.5;
/// Age of other entries' reports: the shortest, the part for each entry, and the longest. Entries send
/// to a limited number of others at a time, so with 100 of them reports are 0.8 s old.
const REPORT_AGE: (Duration, Duration, Duration) = (
    Duration::from_millis(200),
    Duration::from_millis(8),
    Duration::from_millis(800),
);
/// Shortest and longest retry time of a refusal by rank.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(500), Duration::from_millis(2600));
/// Largest random part of a retry time, relative to the rest of it.
const RETRY_SPREAD: f64 = 0.5;

/// Decides which requests to a service are admitted while more are in demand than its engines can serve.
///
/// Requests of a less urgent level are refused from a lower load on, so that urgent ones are served in
/// time. In addition, the requests of all levels are rationed while there are more than slots.
/// What other entries send becomes known after most of a second, in which all of them together could
/// fill an engine's queue for seconds; after the loss of a group this would happen to those that are
/// left. Each entry therefore admits only its share of the rate at which slots become free.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    services: HashMap<id::Service, State>,
}

/// State of one service.
#[derive(Clone, Debug)]
struct State {
    /// Moving average of the time that a request takes.
    duration: Duration,
    /// Unused admissions.
    tokens: f64,
    refilled_at: Instant,
    shares: Shares,
    /// Part of the requests that were admitted lately.
    trend: Trend,
    /// Parts of the requests that are of each level; those of higher ones count for the last.
    levels: [f64; LEVELS],
    /// Requests that were refused by rank lately.
    refused: Count,
}

/// Request for which an admission is decided.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Request<'a> {
    /// Service that is to run the request.
    pub service: &'a id::Service,
    /// Level of the request's rank; 0 is the most urgent.
    pub level: u8,
    /// Number of levels of the service.
    pub levels: u8,
    /// Team of the client, if known.
    pub team: Option<&'a id::Team>,
    /// Whether the client sends the request again after a refusal.
    pub returning: bool,
}

/// What the engines of a service that may get requests can run, and the requests that are known.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Slots of the engines that may get requests.
    pub slots: u32,
    /// Largest number of requests that these engines accept, also those that wait.
    pub limit: u32,
    /// Largest number of requests with which these engines keep the longest pause that routes state.
    pub comfortable_load: f64,
    /// Requests of other entries in flight at all engines of the service, also at those that may get
    /// none.
    pub requests: u32,
    /// Requests of this entry in flight at all engines; unlike those of others they are known exactly.
    pub own_requests: u32,
}

/// Why a request is not admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Refusal {
    /// More requests are in demand than slots, and this entry has used up its share.
    Rationed,
    /// The load is close to the bound of the request's level, or above it.
    Outranked(Outranked),
}

/// Refusal of a request because more urgent ones have priority.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outranked {
    /// Level of the request.
    pub level: u8,
    /// Requests in flight, as estimated.
    pub load: f64,
    /// Requests in flight up to which the level is admitted.
    pub bound: f64,
    /// Time after which there is expected to be room for the level, 0.5 to 2.6 s.
    pub retry_after: Duration,
}

impl Admission {
    /// Records how long a request to a service took.
    pub fn record_duration(&mut self, service: &id::Service, duration: Duration, now: Instant) {
        let state = self.state(service, now);
        state.duration =
            state.duration.mul_f64(1.0 - NEWEST_WEIGHT) + duration.mul_f64(NEWEST_WEIGHT);
    }

    /// Decides whether this entry, one of `entries`, may send a request, and counts it.
    ///
    /// `draw` is a random number from 0 to below 1.
    ///
    /// # Errors
    ///
    /// Returns the reason if the request is to be refused.
    pub fn admit(
        &mut self,
        request: &Request<'_>,
        demand: &Demand,
        entries: usize,
        draw: f64,
        now: Instant,
    ) -> Result<(), Refusal> {
        let state = self.state(request.service, now);
        if request.levels > 1 {
            state
                .rank(request, demand, entries, draw, now)
                .map_err(Refusal::Outranked)?;
        }
        if !state.ration(request, demand, entries, now) {
            return Err(Refusal::Rationed);
        }
        if request.levels > 1 && request.team.is_some() {
            state.shares.record_admitted(now);
        }
        Ok(())
    }

    /// Removes the state of services that are no longer known.
    pub fn retain(&mut self, known: impl Fn(&id::Service) -> bool) {
        self.services.retain(|service, _| known(service));
    }

    fn state(&mut self, service: &id::Service, now: Instant) -> &mut State {
        let state = self.services.entry(service.clone());
        state.or_insert_with(|| State {
            duration: DEFAULT_DURATION,
            tokens: 1.0,
            refilled_at: now,
            shares: Shares::default(),
            trend: Trend::default(),
            levels: [0.0; LEVELS],
            refused: Count::default(),
        })
    }
}

impl State {
    /// Decides by the level of a request.
    fn rank(
        &mut self,
        request: &Request<'_>,
        demand: &Demand,
        entries: usize,
        draw: f64,
        now: Instant,
    ) -> Result<(), Outranked> {
        let is_within = request.team.is_some_and(|team| {
            let is_within = self.shares.is_within(team, now);
            self.shares.record_request(team, now);
            is_within
        });
        let growth = self.trend.growth(report_age(entries), self.duration, now);
        let load = f64::from(demand.own_requests) + f64::from(demand.requests) * growth;
        self.record_level(request.level);
        let mean = self.mean_probability(request, demand, load);
        self.trend.record(mean, now);
        if request.level == 0 {
            return Ok(());
        }
        let bound = bound(request, demand);
        let margin = if is_within { TEAM_MARGIN } else { 0.0 };
        let probability = probability(load * (1.0 - margin), bound);
        if draw < probability {
            return Ok(());
        }
        self.refused.add(now);
        let refused = self.refused.value(now) * entries.max(1) as f64;
        let excess = (load - (1.0 - RAMP) * bound).max(0.0) + refused;
        // Given the refusal, this is again uniform from 0 to 1.
        let spread = (draw - probability) / (1.0 - probability);
        Err(Outranked {
            level: request.level,
            load,
            bound,
            retry_after: retry_after(excess, load, self.duration, spread),
        })
    }

    /// Counts a request for the parts of the levels.
    fn record_level(&mut self, level: u8) {
        for (index, part) in self.levels.iter_mut().enumerate() {
            let is_level = usize::from(level).min(LEVELS - 1) == index;
            *part += LEVEL_WEIGHT * (f64::from(u8::from(is_level)) - *part);
        }
    }

    /// Returns the probability with which a request of any level is admitted.
    fn mean_probability(&self, request: &Request<'_>, demand: &Demand, load: f64) -> f64 {
        let counted: f64 = self.levels.iter().sum();
        let admitted = (0_u8..).zip(self.levels).map(|(level, part)| {
            let request = Request {
                level,
                returning: false,
                ..*request
            };
            match level {
                0 => part,
                _ => part * probability(load, bound(&request, demand)),
            }
        });
        admitted.sum::<f64>() / counted
    }

    /// Returns whether this entry's share of the rate at which slots become free allows a request, and
    /// counts it if so.
    ///
    /// Where there are several levels, the most urgent one is rationed only if the engines are at their
    /// limit: a burst of others that is seen late may fill the slots for a second.
    fn ration(
        &mut self,
        request: &Request<'_>,
        demand: &Demand,
        entries: usize,
        now: Instant,
    ) -> bool {
        let seconds = self.duration.as_secs_f64().max(0.05);
        let rate = ADMITTED_SHARE * f64::from(demand.slots) / seconds / entries.max(1) as f64;
        let burst = (rate * BURST_TIME.as_secs_f64()).max(1.0);
        let elapsed = now.duration_since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + rate * elapsed).min(burst);
        self.refilled_at = now;
        let room = match request.level {
            0 if request.levels > 1 => demand.limit,
            _ => demand.slots,
        };
        let is_rationed = f64::from(demand.requests) >= MIN_DEMAND * f64::from(room);
        if is_rationed && self.tokens < 1.0 {
            return false;
        }
        self.tokens = (self.tokens - 1.0).max(0.0);
        true
    }
}

/// Returns the probability of admission to a level with a bound.
fn probability(load: f64, bound: f64) -> f64 {
    let room = (1.0 + RAMP) * bound - load;
    (room / (2.0 * RAMP * bound).max(f64::EPSILON)).clamp(MIN_PROBABILITY, 1.0)
}

/// Returns the number of requests in flight up to which the level of a request is admitted.
fn bound(request: &Request<'_>, demand: &Demand) -> f64 {
    let limit = f64::from(demand.limit);
    let lowest = request.levels.saturating_sub(1).max(1);
    let step = (limit - demand.comfortable_load.min(limit)) / f64::from(lowest);
    let steps = f64::from(request.level.min(lowest));
    let returning = if request.returning { RETRY_STEP } else { 0.0 };
    limit - step * (steps - returning)
}

/// Returns the usual age of reports in a fleet of `entries`.
fn report_age(entries: usize) -> Duration {
    let (shortest, for_each, longest) = REPORT_AGE;
    let entries = u32::try_from(entries).unwrap_or(u32::MAX);
    for_each.saturating_mul(entries).clamp(shortest, longest)
}

/// Returns the time in which `excess` requests end, of `load` that take `duration` each, with a random
/// part; `spread` is from 0 to 1.
fn retry_after(excess: f64, load: f64, duration: Duration, spread: f64) -> Duration {
    let (shortest, longest) = (RETRY_AFTER.0.as_secs_f64(), RETRY_AFTER.1.as_secs_f64());
    let seconds = excess * duration.as_secs_f64() / load.max(1.0);
    let seconds = seconds.clamp(shortest, longest / (1.0 + RETRY_SPREAD));
    Duration::from_secs_f64(seconds * (1.0 + RETRY_SPREAD * spread))
}
