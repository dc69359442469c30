use std::{collections::HashMap, time::Duration};

use conf::id;
use tokio::time::Instant;

/// First pause after failures, and the longest.
///
/// The first is the time between two announcements of an endpoint; a crashed one is away for seconds.
const PAUSES: (Duration, Duration) = (Duration::from_millis(1000), Duration::from_secs(4));
/// Failures in a row from which an endpoint is passed over.
const STREAK: u32 = 2;
/// Weight of the newest outcome in the share of failures.
const WEIGHT: f64 = 0.1;

/// Judges endpoints by the outcome of what was sent to them, never by probes.
#[derive(Clone, Debug, Default)]
pub struct Health {
    endpoints: HashMap<id::Endpoint, Record>,
}

#[derive(Clone, Debug, Default)]
struct Record {
    streak: u32,
    pause: Duration,
    until: Option<Instant>,
    failures: f64,
    /// When another endpoint was found at its address.
    missing: Option<Instant>,
}

impl Health {
    /// Returns whether an endpoint is passed over for now.
    #[must_use]
    pub fn is_paused(&self, endpoint: &str, now: Instant) -> bool {
        let record = self.endpoints.get(endpoint);
        record
            .and_then(|r| r.until)
            .is_some_and(|until| until > now)
    }

    /// Returns the share of an endpoint's answers that failed lately, 0 to 1.
    #[must_use]
    pub fn failures(&self, endpoint: &str) -> f64 {
        self.endpoints.get(endpoint).map_or(0.0, |r| r.failures)
    }

    /// Notes an answer that came whole.
    pub fn succeeded(&mut self, endpoint: &id::Endpoint) {
        if let Some(record) = self.endpoints.get_mut(endpoint) {
            record.streak = 0;
            record.until = None;
            record.pause = Duration::ZERO;
            record.failures *= 1.0 - WEIGHT;
        }
    }

    /// Notes an answer that states a failure of the endpoint's own.
    pub fn failed(&mut self, endpoint: &id::Endpoint) {
        let record = self.endpoints.entry(endpoint.clone()).or_default();
        record.failures += WEIGHT * (1.0 - record.failures);
    }

    /// Notes that an endpoint could not be reached or broke off; returns whether it is now passed over.
    pub fn broke(&mut self, endpoint: &id::Endpoint, now: Instant) -> bool {
        let record = self.endpoints.entry(endpoint.clone()).or_default();
        record.streak += 1;
        record.failures += WEIGHT * (1.0 - record.failures);
        if record.streak < STREAK {
            return false;
        }
        record.pause = (record.pause * 2).clamp(PAUSES.0, PAUSES.1);
        record.until = Some(now + record.pause);
        true
    }

    /// Passes an endpoint over at once, since it is not there any more.
    pub fn left(&mut self, endpoint: &id::Endpoint, now: Instant) {
        let record = self.endpoints.entry(endpoint.clone()).or_default();
        record.until = Some(now + PAUSES.1);
        record.missing = Some(now);
    }

    /// Passes an endpoint over since another entry found it to be gone.
    pub fn hear_missing(&mut self, endpoint: &id::Endpoint, now: Instant) {
        let record = self.endpoints.entry(endpoint.clone()).or_default();
        let until = record.until.unwrap_or(now).max(now + PAUSES.0);
        record.until = Some(until);
    }

    /// Lists the endpoints that this process found to be gone within `span`.
    #[must_use]
    pub fn missing(&self, span: Duration, now: Instant) -> Vec<id::Endpoint> {
        let recent = |record: &Record| {
            record
                .missing
                .is_some_and(|at| now.duration_since(at) < span)
        };
        let missing = self.endpoints.iter().filter(|(_, record)| recent(record));
        missing.map(|(endpoint, _)| endpoint.clone()).collect()
    }

    /// Forgets endpoints that are no longer known.
    pub fn retain(&mut self, known: impl Fn(&id::Endpoint) -> bool) {
        self.endpoints.retain(|endpoint, _| known(endpoint));
    }
}
