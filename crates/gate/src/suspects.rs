use std::{collections::BTreeMap, time::Duration};

use conf::{Document, ZoneState, id};
use tokio::time::Instant;
use wire::{Fingerprint, Suspect};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Time after a crash for which the requests that ran then are suspect.
const SUSPECT_TIME: Duration = Duration::from_secs(60);
/// Largest number of records; the ones that expire first are dropped first.
const MAX_RECORDS: usize = 256;
/// Number of crashes from which on a request is blocked.
const BLOCK_CRASHES: usize = 2;

/// Records which requests ran when an engine crashed, at this endpoint or another.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    /// Records by request and crash id.
    records: BTreeMap<(Fingerprint, u64), Record>,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    expires: Instant,
    /// Whether the request has completed since.
    cleared: bool,
}

impl Suspects {
    /// Records a crash at an endpoint and the requests that ran then.
    ///
    /// The lower 32 bits of `number` tell the crashes of one endpoint apart.
    pub fn record_crash(
        &mut self,
        endpoint: &id::Endpoint,
        number: u64,
        running: impl IntoIterator<Item = Fingerprint>,
        now: Instant,
    ) {
        let crash = u64::from(endpoint_hash(endpoint)) << 32 | (number & 0xffff_ffff);
        for fingerprint in running {
            self.insert((fingerprint, crash), now + SUSPECT_TIME);
        }
    }

    /// Adds the suspects of another process.
    pub fn merge(&mut self, suspects: &[Suspect], now: Instant) {
        for suspect in suspects {
            let key = (suspect.fingerprint, suspect.crash);
            self.insert(key, now + suspect.left.min(SUSPECT_TIME));
        }
    }

    /// Clears a request of suspicion because it has completed.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        let all = (fingerprint, u64::MIN)..=(fingerprint, u64::MAX);
        for (_, record) in self.records.range_mut(all) {
            record.cleared = true;
        }
    }

    /// Removes the records that have expired.
    pub fn expire(&mut self, now: Instant) {
        self.records.retain(|_, record| record.expires > now);
    }

    /// Returns whether a request may have crashed an endpoint.
    #[must_use]
    pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.crash_count(fingerprint) > 0
    }

    /// Returns whether a request is refused everywhere because it ran during two crashes.
    #[must_use]
    pub fn is_blocked(&self, fingerprint: Fingerprint) -> bool {
        self.crash_count(fingerprint) >= BLOCK_CRASHES
    }

    /// Returns the only endpoint at which a suspect request may run, of those in service.
    ///
    /// It is one where the request has not run during a crash, if there is one. All processes
    /// select the same endpoint, so that a second crash is detected where the request would run
    /// next.
    #[must_use]
    pub fn quarantine_endpoint(
        &self,
        fingerprint: Fingerprint,
        document: &Document,
    ) -> Option<id::Endpoint> {
        let service = self.service(fingerprint, document)?;
        let eligible = document.endpoints.iter().filter(|(_, e)| {
            let zone = document.zones.get(&e.zone);
            e.service == service && !e.leaving && zone.is_some_and(|z| z.state == ZoneState::In)
        });
        let best = eligible.max_by_key(|(name, _)| {
            let crashed = self
                .crashed_endpoints(fingerprint)
                .any(|hash| hash == endpoint_hash(name));
            (!crashed, xxh3_64_with_seed(name.as_bytes(), fingerprint))
        });
        best.map(|(name, _)| name.clone())
    }

    /// Returns the service of an endpoint that crashed while a request ran.
    fn service(&self, fingerprint: Fingerprint, document: &Document) -> Option<id::Service> {
        let crashed = self.crashed_endpoints(fingerprint).next()?;
        let mut all = document.endpoints.iter();
        let (_, endpoint) = all.find(|(name, _)| endpoint_hash(name) == crashed)?;
        Some(endpoint.service.clone())
    }

    /// Returns the hashes of the endpoints that crashed while a request ran.
    fn crashed_endpoints(&self, fingerprint: Fingerprint) -> impl Iterator<Item = u32> {
        let crashes = self.crashes(fingerprint);
        crashes.map(|crash| u32::try_from(crash >> 32).unwrap_or_default())
    }

    /// Returns the suspects that have not been cleared, in the form in which heartbeats carry them.
    #[must_use]
    pub fn list(&self, now: Instant) -> Vec<Suspect> {
        let uncleared = self.records.iter().filter(|(_, record)| !record.cleared);
        uncleared
            .map(|((fingerprint, crash), record)| Suspect {
                fingerprint: *fingerprint,
                crash: *crash,
                left: record.expires.saturating_duration_since(now),
            })
            .collect()
    }

    fn crash_count(&self, fingerprint: Fingerprint) -> usize {
        self.crashes(fingerprint).count()
    }

    /// Returns the ids of the crashes during which a request ran, unless it was cleared.
    fn crashes(&self, fingerprint: Fingerprint) -> impl Iterator<Item = u64> {
        let all = (fingerprint, u64::MIN)..=(fingerprint, u64::MAX);
        let uncleared = self.records.range(all).filter(|(_, r)| !r.cleared);
        uncleared.map(|((_, crash), _)| *crash)
    }

    /// Adds a record; a known one stays as it is, so that a cleared request stays cleared.
    fn insert(&mut self, key: (Fingerprint, u64), expires: Instant) {
        let record = Record {
            expires,
            cleared: false,
        };
        self.records.entry(key).or_insert(record);
        if self.records.len() > MAX_RECORDS {
            let oldest = self.records.iter().min_by_key(|(_, record)| record.expires);
            let oldest = oldest.map(|(key, _)| *key);
            oldest.and_then(|key| self.records.remove(&key));
        }
    }
}

/// Returns the hash by which a crash id names its endpoint.
fn endpoint_hash(endpoint: &id::Endpoint) -> u32 {
    u32::try_from(xxh3_64(endpoint.as_bytes()) >> 32).unwrap_or_default()
}
