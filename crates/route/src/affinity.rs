use std::{cmp::Reverse, collections::HashMap};

use conf::id;
use xxhash_rust::xxh3::Xxh3;

/// Requests over which prefixes are counted; then all counts are halved.
const WINDOW: u32 = 4096;
/// Requests before a prefix can count as popular.
const EVIDENCE: u32 = 8;

/// Picks the prefix of a body by which its endpoint is chosen.
///
/// Equal prefixes should meet at one endpoint, whose cache holds them. A prefix that makes up more
/// than an endpoint's share of all requests is in every cache, so the next longer one decides.
#[derive(Clone, Debug, Default)]
pub(crate) struct Affinity {
    counts: HashMap<u64, u32>,
    total: u32,
}

impl Affinity {
    /// Counts the prefixes of a request, shortest first, and returns the one that decides.
    pub(crate) fn pick(&mut self, prefixes: &[u64], endpoints: usize) -> u64 {
        self.total += 1;
        for prefix in prefixes {
            *self.counts.entry(*prefix).or_default() += 1;
        }
        let endpoints = u32::try_from(endpoints).unwrap_or(u32::MAX);
        let popular = |prefix: &u64| {
            let count = self.counts.get(prefix).copied().unwrap_or(0);
            count >= EVIDENCE && count.saturating_mul(endpoints) > self.total
        };
        let decisive = prefixes.iter().find(|prefix| !popular(prefix));
        let picked = decisive.or(prefixes.last()).copied().unwrap_or_default();
        if self.total >= WINDOW {
            self.forget();
        }
        picked
    }

    fn forget(&mut self) {
        self.total /= 2;
        self.counts.retain(|_, count| {
            *count /= 2;
            *count > 0
        });
    }
}

/// Returns the rank of an endpoint for a hash in rendezvous order; the first is the best.
pub(crate) fn rank(hash: u64, endpoint: &id::Endpoint) -> Reverse<u64> {
    let mut hasher = Xxh3::with_seed(hash);
    hasher.update(endpoint.as_bytes());
    Reverse(hasher.digest())
}
