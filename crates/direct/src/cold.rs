use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use conf::id;
use tokio::time::Instant;

/// Window over which a cold endpoint's requests are counted, with a tenth for the spread of delays.
const WINDOW: Duration = Duration::from_millis(1100);

/// Limits what this entry sends to cold endpoints, so that all entries together stay within bounds.
#[derive(Clone, Debug, Default)]
pub struct Cold {
    sent: HashMap<id::Endpoint, VecDeque<Instant>>,
}

impl Cold {
    /// Returns whether one of `entries` entries may send one more request to a cold endpoint that
    /// bears `rate` requests a second.
    #[must_use]
    pub fn allows(&self, endpoint: &str, rate: f64, entries: usize, now: Instant) -> bool {
        let Some(sent) = self.sent.get(endpoint) else {
            return rate > 0.0;
        };
        let own = rate / entries.max(1) as f64;
        if own < 1.0 {
            let pause = WINDOW.div_f64(own.max(0.001));
            return sent
                .back()
                .is_none_or(|last| now.duration_since(*last) >= pause);
        }
        let recent = sent.iter().filter(|at| now.duration_since(**at) < WINDOW);
        (recent.count() as f64) + 1.0 <= own.floor()
    }

    /// Notes that a request was sent.
    pub fn sent(&mut self, endpoint: &id::Endpoint, now: Instant) {
        let sent = self.sent.entry(endpoint.clone()).or_default();
        // The last one is kept, since a share below one a second is a pause after it.
        while sent.len() > 1 && now.duration_since(sent[0]) >= WINDOW {
            sent.pop_front();
        }
        sent.push_back(now);
    }

    /// Forgets endpoints that are no longer known.
    pub fn retain(&mut self, known: impl Fn(&id::Endpoint) -> bool) {
        self.sent.retain(|endpoint, _| known(endpoint));
    }
}
