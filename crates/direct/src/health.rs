use std::{collections::HashMap, time::Duration};

use conf::id;
use tokio::time::Instant;

/// Shortest ejection, equal to the interval at which endpoints announce themselves.
const MIN_EJECTION: Duration = Duration::from_millis(1000);
/// Longest ejection, and that of a missing endpoint; a crashed endpoint is unavailable for seconds.
const MAX_EJECTION: Duration = Duration::from_secs(4);
/// Consecutive connection failures after which an endpoint is ejected.
const EJECTION_THRESHOLD: u32 = 2;
/// Time in which an endpoint that declined a request makes room again.
const DECLINE_MEMORY: Duration = Duration::from_millis(1000);
/// Weight of the newest outcome in the moving average of the failure rate, 0 to 1.
const NEWEST_WEIGHT: f64 = 0.1;

/// Tracks the health of endpoints from the outcomes of requests alone, without probes.
///
/// An ejected endpoint gets no requests until its ejection ends.
#[derive(Clone, Debug, Default)]
pub struct Health {
    endpoints: HashMap<id::Endpoint, Record>,
}

#[derive(Clone, Debug, Default)]
struct Record {
    consecutive_failures: u32,
    ejection: Duration,
    ejected_until: Option<Instant>,
    failure_rate: f64,
    /// Time at which another endpoint was found at this one's address.
    found_missing: Option<Instant>,
    /// Time at which the endpoint last declined a request.
    declined_at: Option<Instant>,
}

impl Health {
    /// Returns whether an endpoint is currently ejected.
    #[must_use]
    pub fn is_ejected(&self, endpoint: &str, now: Instant) -> bool {
        let record = self.endpoints.get(endpoint);
        record
            .and_then(|r| r.ejected_until)
            .is_some_and(|until| until > now)
    }

    /// Returns the moving average of an endpoint's share of failed requests, 0 to 1.
    #[must_use]
    pub fn failure_rate(&self, endpoint: &str) -> f64 {
        self.endpoints.get(endpoint).map_or(0.0, |r| r.failure_rate)
    }

    /// Records a complete response that is not an error; ends the endpoint's ejection.
    pub fn record_success(&mut self, endpoint: &id::Endpoint) {
        if let Some(record) = self.endpoints.get_mut(endpoint) {
            record.consecutive_failures = 0;
            record.ejected_until = None;
            record.ejection = Duration::ZERO;
            record.failure_rate *= 1.0 - NEWEST_WEIGHT;
        }
    }

    /// Records a response in which the endpoint reports an error of its own.
    pub fn record_error(&mut self, endpoint: &id::Endpoint) {
        let record = self.endpoints.entry(endpoint.clone()).or_default();
        record.failure_rate += NEWEST_WEIGHT * (1.0 - record.failure_rate);
    }

    /// Records that an endpoint declined a request, since it has no room.
    pub fn record_declined(&mut self, endpoint: &id::Endpoint, now: Instant) {
        let record = self.endpoints.entry(endpoint.clone()).or_default();
        record.declined_at = Some(now);
    }

    /// Returns how recently an endpoint declined a request, from 1 for just now to 0 for a second ago.
    #[must_use]
    pub fn recent_decline(&self, endpoint: &str, now: Instant) -> f64 {
        let record = self.endpoints.get(endpoint);
        let age = record
            .and_then(|r| r.declined_at)
            .map_or(DECLINE_MEMORY, |at| now.duration_since(at));
        1.0 - age.min(DECLINE_MEMORY).div_duration_f64(DECLINE_MEMORY)
    }

    /// Records that a connection to an endpoint failed or broke; returns whether the endpoint is now
    /// ejected.
    pub fn record_connection_failure(&mut self, endpoint: &id::Endpoint, now: Instant) -> bool {
        let record = self.endpoints.entry(endpoint.clone()).or_default();
        record.consecutive_failures += 1;
        record.failure_rate += NEWEST_WEIGHT * (1.0 - record.failure_rate);
        if record.consecutive_failures < EJECTION_THRESHOLD {
            return false;
        }
        record.ejection = (record.ejection * 2).clamp(MIN_EJECTION, MAX_EJECTION);
        record.ejected_until = Some(now + record.ejection);
        true
    }

    /// Records that this entry found another endpoint at the endpoint's address; ejects it at once.
    pub fn record_missing(&mut self, endpoint: &id::Endpoint, now: Instant) {
        let record = self.endpoints.entry(endpoint.clone()).or_default();
        record.ejected_until = Some(now + MAX_EJECTION);
        record.found_missing = Some(now);
    }

    /// Records that another entry found the endpoint to be missing; ejects it at once.
    pub fn record_reported_missing(&mut self, endpoint: &id::Endpoint, now: Instant) {
        let record = self.endpoints.entry(endpoint.clone()).or_default();
        let until = record.ejected_until.unwrap_or(now).max(now + MIN_EJECTION);
        record.ejected_until = Some(until);
    }

    /// Lists the endpoints that this entry itself found to be missing within the last `span`.
    #[must_use]
    pub fn recently_missing(&self, span: Duration, now: Instant) -> Vec<id::Endpoint> {
        let is_recent = |record: &Record| {
            record
                .found_missing
                .is_some_and(|at| now.duration_since(at) < span)
        };
        let missing = self
            .endpoints
            .iter()
            .filter(|(_, record)| is_recent(record));
        missing.map(|(endpoint, _)| endpoint.clone()).collect()
    }

    /// Removes the endpoints that are no longer known.
    pub fn retain(&mut self, known: impl Fn(&id::Endpoint) -> bool) {
        self.endpoints.retain(|endpoint, _| known(endpoint));
    }
}
