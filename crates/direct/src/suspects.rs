use std::{collections::HashMap, time::Duration};

use tokio::time::Instant;

/// Time for which a crash counts against a request.
const CRASH_TTL: Duration = Duration::from_secs(60);
/// Crashes after which a request is no longer sent to any endpoint.
///
/// The platform allows three; the third may already be under way through another entry.
const MAX_CRASHES: usize = 2;
/// Maximum number of requests whose crashes are tracked.
const MAX_SUSPECTS: usize = 512;

/// Hash of team, path and body, which is the same for all attempts of one request.
pub type Fingerprint = u64;

/// Random number that identifies a crash, so that repeated reports of it count once.
pub type CrashId = u32;

/// Counts the crashes that each request may have caused: connections that broke while an endpoint
/// ran it.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    crashes: HashMap<Fingerprint, Vec<(CrashId, Instant)>>,
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
            .filter(|(_, at)| now.duration_since(*at) < CRASH_TTL);
        recent.count() < MAX_CRASHES
    }

    /// Records a crash; repeated reports of the same crash count once.
    pub fn record_crash(&mut self, fingerprint: Fingerprint, crash: CrashId, now: Instant) {
        if self.crashes.len() >= MAX_SUSPECTS {
            self.crashes
                .retain(|_, crashes| is_recent(crashes, CRASH_TTL, now));
        }
        if self.crashes.len() >= MAX_SUSPECTS && !self.crashes.contains_key(&fingerprint) {
            return;
        }
        let crashes = self.crashes.entry(fingerprint).or_default();
        if crashes.iter().all(|(known, _)| *known != crash) {
            crashes.push((crash, now));
        }
    }

    /// Lists the crashes that were recorded within the last `span`, to be sent to other entries.
    #[must_use]
    pub fn recent(&self, span: Duration, now: Instant) -> Vec<(Fingerprint, CrashId)> {
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

/// Returns whether the latest crash lies within `span`.
fn is_recent(crashes: &[(CrashId, Instant)], span: Duration, now: Instant) -> bool {
    crashes
        .last()
        .is_some_and(|(_, at)| now.duration_since(*at) < span)
}
