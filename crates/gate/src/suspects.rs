use std::{collections::BTreeMap, time::Duration};

use conf::{Document, ZoneState, id};
use tokio::time::Instant;
use wire::{Fingerprint, Suspect};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Time for which a suspicion holds.
const HOLD: Duration = Duration::from_secs(60);
/// Suspicions that are kept at most; the oldest go first.
const CAPACITY: usize = 256;
/// Crashes after which a request is refused.
const CERTAIN: usize = 2;

/// Knows which requests ran when an engine crashed, at this endpoint or another.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    records: BTreeMap<(Fingerprint, u64), Record>,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    until: Instant,
    /// Whether the request has run whole since.
    cleared: bool,
}

impl Suspects {
    /// Takes in the crash with a number at an endpoint, and what ran then.
    pub fn record_crash(
        &mut self,
        endpoint: &id::Endpoint,
        number: u64,
        running: impl IntoIterator<Item = Fingerprint>,
        now: Instant,
    ) {
        let crash = u64::from(origin(endpoint)) << 32 | (number & 0xffff_ffff);
        for fingerprint in running {
            self.add((fingerprint, crash), now + HOLD);
        }
    }

    /// Takes in what another process suspects.
    pub fn merge(&mut self, suspects: &[Suspect], now: Instant) {
        for suspect in suspects {
            let key = (suspect.fingerprint, suspect.crash);
            self.add(key, now + suspect.left.min(HOLD));
        }
    }

    /// Takes in that a request has run whole.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        let all = (fingerprint, u64::MIN)..=(fingerprint, u64::MAX);
        for (_, record) in self.records.range_mut(all) {
            record.cleared = true;
        }
    }

    /// Forgets what no longer holds.
    pub fn expire(&mut self, now: Instant) {
        self.records.retain(|_, record| record.until > now);
    }

    /// Returns whether a request may have crashed an endpoint.
    #[must_use]
    pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.strikes(fingerprint) > 0
    }

    /// Returns whether a request is refused.
    #[must_use]
    pub fn is_blocked(&self, fingerprint: Fingerprint) -> bool {
        self.strikes(fingerprint) >= CERTAIN
    }

    /// Returns the only endpoint at which a suspected request may run, of those that could run it.
    ///
    /// All processes agree on it, so that its next crash is noticed where it would run again.
    #[must_use]
    pub fn quarantine_endpoint(
        &self,
        fingerprint: Fingerprint,
        document: &Document,
    ) -> Option<id::Endpoint> {
        let service = self.service(fingerprint, document)?;
        let fitting = document.endpoints.iter().filter(|(_, e)| {
            let zone = document.zones.get(&e.zone);
            e.service == service && !e.leaving && zone.is_some_and(|z| z.state == ZoneState::In)
        });
        let best = fitting.max_by_key(|(name, _)| {
            let crashed = self.crashes(fingerprint).any(|c| c == origin(name));
            (!crashed, xxh3_64_with_seed(name.as_bytes(), fingerprint))
        });
        best.map(|(name, _)| name.clone())
    }

    /// Returns the service of the endpoint at which a request was suspected.
    fn service(&self, fingerprint: Fingerprint, document: &Document) -> Option<id::Service> {
        let crash = self.crashes(fingerprint).next()?;
        let mut all = document.endpoints.iter();
        let (_, endpoint) = all.find(|(name, _)| origin(name) == crash)?;
        Some(endpoint.service.clone())
    }

    fn crashes(&self, fingerprint: Fingerprint) -> impl Iterator<Item = u32> {
        let held = self.held(fingerprint);
        held.map(|crash| u32::try_from(crash >> 32).unwrap_or_default())
    }

    /// Returns all suspicions, for heartbeats.
    #[must_use]
    pub fn list(&self, now: Instant) -> Vec<Suspect> {
        let held = self.records.iter().filter(|(_, record)| !record.cleared);
        held.map(|((fingerprint, crash), record)| Suspect {
            fingerprint: *fingerprint,
            crash: *crash,
            left: record.until.saturating_duration_since(now),
        })
        .collect()
    }

    fn strikes(&self, fingerprint: Fingerprint) -> usize {
        self.held(fingerprint).count()
    }

    fn held(&self, fingerprint: Fingerprint) -> impl Iterator<Item = u64> {
        let all = (fingerprint, u64::MIN)..=(fingerprint, u64::MAX);
        let held = self.records.range(all).filter(|(_, r)| !r.cleared);
        held.map(|((_, crash), _)| *crash)
    }

    fn add(&mut self, key: (Fingerprint, u64), until: Instant) {
        let cleared = false;
        self.records.entry(key).or_insert(Record { until, cleared });
        if self.records.len() > CAPACITY {
            let oldest = self.records.iter().min_by_key(|(_, record)| record.until);
            let oldest = oldest.map(|(key, _)| *key);
            oldest.and_then(|key| self.records.remove(&key));
        }
    }
}

/// Returns the short hash by which a crash names its endpoint.
fn origin(endpoint: &id::Endpoint) -> u32 {
    u32::try_from(xxh3_64(endpoint.as_bytes()) >> 32).unwrap_or_default()
}
