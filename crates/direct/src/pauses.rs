use std::{collections::HashMap, time::Duration};

use conf::id;
use tokio::time::Instant;

/// Longest pause that an endpoint may ask for; a longer one is taken for a mistake and cut to it.
const MAX_PAUSE: Duration = Duration::from_secs(3600);

/// Tracks which endpoints have asked this entry to send nothing for some time.
#[derive(Clone, Debug, Default)]
pub struct Pauses {
    until: HashMap<id::Endpoint, Instant>,
}

impl Pauses {
    /// Returns the time until which an endpoint wants nothing from this entry, if it lies ahead.
    #[must_use]
    pub fn until(&self, endpoint: &str, now: Instant) -> Option<Instant> {
        self.until
            .get(endpoint)
            .copied()
            .filter(|until| *until > now)
    }

    /// Records that an endpoint asked for a pause; a shorter one does not end one that was asked for
    /// before.
    pub fn record(&mut self, endpoint: &id::Endpoint, pause: Duration, now: Instant) {
        let until = now + pause.min(MAX_PAUSE);
        let known = self.until.entry(endpoint.clone()).or_insert(until);
        *known = until.max(*known);
    }

    /// Removes the pauses that are over.
    pub fn remove_expired(&mut self, now: Instant) {
        self.until.retain(|_, until| *until > now);
    }
}
