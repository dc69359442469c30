use std::{collections::HashMap, time::Duration};

use tokio::time::Instant;

/// Time for which a crash counts against a request.
const MEMORY: Duration = Duration::from_secs(60);
/// Crashes after which a request is no longer sent to any endpoint.
///
/// The platform's bound is three; the third crash may be under way at another entry.
const LIMIT: usize = 2;
/// Suspects that are remembered at most.
const CAPACITY: usize = 512;

/// Number that is the same for all sends of one request: team, path and body.
pub type Fingerprint = u64;

/// Number that tells one crash from another.
pub type Crash = u32;

/// Counts the connections that broke while an endpoint ran a request.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    crashes: HashMap<Fingerprint, Vec<(Crash, Instant)>>,
}

impl Suspects {
    /// Returns whether a request may be sent to an endpoint.
    #[must_use]
    pub fn allows(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        let Some(crashes) = self.crashes.get(&fingerprint) else {
            return true;
        };
        let recent = crashes
            .iter()
            .filter(|(_, at)| now.duration_since(*at) < MEMORY);
        recent.count() < LIMIT
    }

    /// Notes a crash, once however often it is told.
    pub fn crashed(&mut self, fingerprint: Fingerprint, crash: Crash, now: Instant) {
        if self.crashes.len() >= CAPACITY {
            self.crashes
                .retain(|_, crashes| is_recent(crashes, MEMORY, now));
        }
        if self.crashes.len() >= CAPACITY && !self.crashes.contains_key(&fingerprint) {
            return;
        }
        let crashes = self.crashes.entry(fingerprint).or_default();
        if crashes.iter().all(|(known, _)| *known != crash) {
            crashes.push((crash, now));
        }
    }

    /// Lists the crashes that were noted within `span`, for other entries.
    #[must_use]
    pub fn recent(&self, span: Duration, now: Instant) -> Vec<(Fingerprint, Crash)> {
        let all = self.crashes.iter().flat_map(|(fingerprint, crashes)| {
            crashes
                .iter()
                .map(|(crash, at)| (*fingerprint, *crash, *at))
        });
        all.filter(|(_, _, at)| now.duration_since(*at) < span)
            .map(|(fingerprint, crash, _)| (fingerprint, crash))
            .collect()
    }
}

fn is_recent(crashes: &[(Crash, Instant)], span: Duration, now: Instant) -> bool {
    crashes
        .last()
        .is_some_and(|(_, at)| now.duration_since(*at) < span)
}
