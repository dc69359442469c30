use std::{collections::HashMap, time::Duration};

use conf::id;
use tokio::time::Instant;

/// Time for which a departure is remembered after the endpoint is no longer registered; a registration
/// that lapsed, or that a store restored from a copy, may come back within it.
const MEMORY: Duration = Duration::from_secs(120);
/// Age up to which departures are included in messages to other entries.
const REPORT_SPAN: Duration = Duration::from_secs(30);

/// Start of an endpoint in milliseconds since the Unix epoch, which tells a restarted endpoint from its
/// earlier run under the same id.
pub type Incarnation = u64;

/// Remembers which endpoints have stated that they are leaving.
///
/// A departure is final: it ends only with a later incarnation of the endpoint.
#[derive(Clone, Debug, Default)]
pub struct Departures {
    endpoints: HashMap<id::Endpoint, (Incarnation, Instant)>,
}

impl Departures {
    /// Returns whether an incarnation of an endpoint is leaving.
    #[must_use]
    pub fn is_leaving(&self, endpoint: &str, incarnation: Incarnation) -> bool {
        self.endpoints
            .get(endpoint)
            .is_some_and(|(leaving, _)| incarnation <= *leaving)
    }

    /// Records that an incarnation of an endpoint is leaving; returns false if that was known.
    pub fn record(
        &mut self,
        endpoint: &id::Endpoint,
        incarnation: Incarnation,
        now: Instant,
    ) -> bool {
        if self.is_leaving(endpoint, incarnation) {
            return false;
        }
        self.endpoints.insert(endpoint.clone(), (incarnation, now));
        true
    }

    /// Lists up to `limit` departures for other entries, the latest first.
    #[must_use]
    pub fn recent(&self, limit: usize, now: Instant) -> Vec<(id::Endpoint, Incarnation)> {
        let mut recent: Vec<_> = self
            .endpoints
            .iter()
            .filter(|(_, (_, at))| now.duration_since(*at) < REPORT_SPAN)
            .collect();
        recent.sort_by_key(|(_, (_, at))| std::cmp::Reverse(*at));
        recent
            .into_iter()
            .take(limit)
            .map(|(endpoint, (incarnation, _))| (endpoint.clone(), *incarnation))
            .collect()
    }

    /// Removes old departures of endpoints that are no longer known.
    pub fn retain(&mut self, known: impl Fn(&id::Endpoint) -> bool, now: Instant) {
        self.endpoints
            .retain(|endpoint, (_, at)| known(endpoint) || now.duration_since(*at) < MEMORY);
    }
}
