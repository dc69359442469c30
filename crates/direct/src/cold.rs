//! Rate limit for cold endpoints, which have just started and are not at full speed yet.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use conf::id;
use tokio::time::Instant;

/// Window over which requests to a cold endpoint are counted: one second, and a tenth for the
/// variation of network delays.
const WINDOW: Duration = Duration::from_millis(1100);

/// Limits the requests of this entry to cold endpoints, so that all entries together stay within
/// the endpoint's rate.
#[derive(Clone, Debug, Default)]
pub struct Limiter {
    sent: HashMap<id::Endpoint, VecDeque<Instant>>,
}

impl Limiter {
    /// Returns whether this entry, one of `entries`, may send another request to a cold endpoint
    /// that takes `rate` requests a second from all entries.
    #[must_use]
    pub fn allows(&self, endpoint: &str, rate: f64, entries: usize, now: Instant) -> bool {
        let Some(sent) = self.sent.get(endpoint) else {
            return rate > 0.0;
        };
        let entry_rate = rate / entries.max(1) as f64;
        if entry_rate < 1.0 {
            let interval = WINDOW.div_f64(entry_rate.max(0.001));
            return sent
                .back()
                .is_none_or(|last| now.duration_since(*last) >= interval);
        }
        let recent = sent.iter().filter(|at| now.duration_since(**at) < WINDOW);
        (recent.count() as f64) + 1.0 <= entry_rate.floor()
    }

    /// Records that a request was sent to a cold endpoint.
    pub fn record_sent(&mut self, endpoint: &id::Endpoint, now: Instant) {
        let sent = self.sent.entry(endpoint.clone()).or_default();
        // The latest time is kept even when expired: a rate below one a second is enforced as an
        // interval after it.
        while sent.len() > 1 && now.duration_since(sent[0]) >= WINDOW {
            sent.pop_front();
        }
        sent.push_back(now);
    }

    /// Removes the endpoints that are no longer known.
    pub fn retain(&mut self, known: impl Fn(&id::Endpoint) -> bool) {
        self.sent.retain(|endpoint, _| known(endpoint));
    }
}
