use std::{cmp::Reverse, collections::HashMap};

use conf::id;
use xxhash_rust::xxh3::Xxh3;

/// Number of requests after which all counts are halved, so that recent requests weigh more.
const COUNT_WINDOW: u32 = 4096;
/// Number of requests from which on a prefix may count as popular.
const MIN_POPULAR_COUNT: u32 = 8;

/// Selects the prefix of a request body that determines the endpoint.
///
/// Requests with equal prefixes should run at one endpoint, whose cache holds the prefix. A prefix
/// of more than an endpoint's share of all requests is in the caches of all endpoints, so the next
/// longer one is used instead.
#[derive(Clone, Debug, Default)]
pub(crate) struct Affinity {
    /// Number of requests by prefix hash.
    counts: HashMap<u64, u32>,
    /// Number of all requests.
    total: u32,
}

impl Affinity {
    /// Counts the prefixes of a request, shortest first, and returns the one to use.
    pub(crate) fn select_prefix(&mut self, prefixes: &[u64], endpoints: usize) -> u64 {
        self.total += 1;
        for prefix in prefixes {
            *self.counts.entry(*prefix).or_default() += 1;
        }
        let endpoints = u32::try_from(endpoints).unwrap_or(u32::MAX);
        let is_popular = |prefix: &u64| {
            let count = self.counts.get(prefix).copied().unwrap_or(0);
            count >= MIN_POPULAR_COUNT && count.saturating_mul(endpoints) > self.total
        };
        let shortest = prefixes.iter().find(|prefix| !is_popular(prefix));
        let selected = shortest.or(prefixes.last()).copied().unwrap_or_default();
        if self.total >= COUNT_WINDOW {
            self.halve_counts();
        }
        selected
    }

    fn halve_counts(&mut self) {
        self.total /= 2;
        self.counts.retain(|_, count| {
            *count /= 2;
            *count > 0
        });
    }
}

/// Returns the sort key of an endpoint in the rendezvous hashing order of a hash, best first.
pub(crate) fn rendezvous_key(hash: u64, endpoint: &id::Endpoint) -> Reverse<u64> {
    let mut hasher = Xxh3::with_seed(hash);
    hasher.update(endpoint.as_bytes());
    Reverse(hasher.digest())
}
