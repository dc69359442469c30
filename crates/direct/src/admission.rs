use std::{collections::HashMap, time::Duration};

use conf::id;
use tokio::time::Instant;

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

/// Rations the requests to a service while more are in demand than its engines have slots.
///
/// What other entries send becomes known after most of a second, in which all of them together could
/// fill an engine's queue for seconds; after the loss of a group this would happen to those that are
/// left. Each entry therefore admits only its share of the rate at which slots become free.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    services: HashMap<id::Service, State>,
}

#[derive(Clone, Debug)]
struct State {
    /// Moving average of the time that a request takes.
    duration: Duration,
    /// Unused admissions.
    tokens: f64,
    refilled_at: Instant,
}

/// Slots of the engines that are in use, and the requests of other entries that are known to want one.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Demand {
    /// Slots of the engines that may get requests.
    pub slots: u32,
    /// Requests of other entries in flight at all engines of the service, also at those that may get
    /// none; this entry's own are known exactly and need no rationing.
    pub requests: u32,
}

impl Admission {
    /// Records how long a request to a service took.
    pub fn record_duration(&mut self, service: &id::Service, duration: Duration, now: Instant) {
        let state = self.state(service, now);
        state.duration =
            state.duration.mul_f64(1.0 - NEWEST_WEIGHT) + duration.mul_f64(NEWEST_WEIGHT);
    }

    /// Returns whether this entry, one of `entries`, may send a request, and counts it if so.
    pub fn admit(
        &mut self,
        service: &id::Service,
        demand: Demand,
        entries: usize,
        now: Instant,
    ) -> bool {
        let state = self.state(service, now);
        let seconds = state.duration.as_secs_f64().max(0.05);
        let rate = ADMITTED_SHARE * f64::from(demand.slots) / seconds / entries.max(1) as f64;
        let burst = (rate * BURST_TIME.as_secs_f64()).max(1.0);
        let elapsed = now.duration_since(state.refilled_at).as_secs_f64();
        state.tokens = (state.tokens + rate * elapsed).min(burst);
        state.refilled_at = now;
        let is_rationed = f64::from(demand.requests) >= MIN_DEMAND * f64::from(demand.slots);
        if is_rationed && state.tokens < 1.0 {
            return false;
        }
        state.tokens = (state.tokens - 1.0).max(0.0);
        true
    }

    fn state(&mut self, service: &id::Service, now: Instant) -> &mut State {
        let state = self.services.entry(service.clone());
        state.or_insert_with(|| State {
            duration: DEFAULT_DURATION,
            tokens: 1.0,
            refilled_at: now,
        })
    }
}
