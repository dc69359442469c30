use std::{collections::HashMap, time::Duration};

use smol_str::SmolStr;
use tokio::time::Instant;

/// Time of a first ejection; doubles after each failed probe.
const MIN_EJECTION_TIME: Duration = Duration::from_secs(1);
const MAX_EJECTION_TIME: Duration = Duration::from_secs(30);
/// Time after which the next probe may start if the last one has no result.
const PROBE_TIMEOUT: Duration = Duration::from_secs(5);

/// Name of a failure domain: a group, whose endpoints run in lock-step, or an endpoint without one.
pub(crate) type Domain = SmolStr;

/// Ejects failure domains that failed or stalled, and lets one attempt at a time probe them before
/// they return.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    ejections: HashMap<Domain, Ejection>,
}

#[derive(Clone, Copy, Debug)]
struct Ejection {
    until: Instant,
    /// Length of the ejection.
    time: Duration,
    /// Time of the last selection since the ejection, which counts as a probe.
    probe: Option<Instant>,
}

impl Health {
    /// Ejects a domain that is not ejected now; for twice the last time if a probe failed.
    pub(crate) fn record_failure(&mut self, domain: &Domain, now: Instant) {
        let time = match self.ejections.get(domain) {
            Some(ejection) if ejection.until > now => return,
            Some(ejection) if ejection.probe.is_some() => {
                (ejection.time * 2).min(MAX_EJECTION_TIME)
            }
            Some(ejection) => ejection.time,
            None => MIN_EJECTION_TIME,
        };
        let ejection = Ejection {
            until: now + time,
            time,
            probe: None,
        };
        self.ejections.insert(domain.clone(), ejection);
    }

    /// Records progress of an attempt at a domain, which returns if its ejection time is over.
    pub(crate) fn record_progress(&mut self, domain: &Domain, now: Instant) {
        let ejection = self.ejections.get(domain);
        if ejection.is_some_and(|ejection| ejection.until <= now) {
            self.ejections.remove(domain);
        }
    }

    /// Returns whether a domain may be selected, possibly for a probe.
    pub(crate) fn is_available(&self, domain: &Domain, now: Instant) -> bool {
        let Some(ejection) = self.ejections.get(domain) else {
            return true;
        };
        let probing = ejection.probe.is_some_and(|at| now < at + PROBE_TIMEOUT);
        ejection.until <= now && !probing
    }

    /// Records that a domain was selected; at an ejected one, the attempt is a probe.
    pub(crate) fn record_selection(&mut self, domain: &Domain, now: Instant) {
        if let Some(ejection) = self.ejections.get_mut(domain) {
            ejection.probe = Some(now);
        }
    }
}
