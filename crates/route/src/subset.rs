use std::collections::BTreeSet;

use conf::{Document, Service, ServiceKind, id};
use xxhash_rust::xxh3::xxh3_64;

use crate::affinity::rendezvous_key;

/// Largest number of endpoints of a service that one entry connects to in its own zone, and in all
/// other zones together.
const MAX_ENDPOINTS: usize = 32;

/// Returns the endpoints that an entry keeps connections to.
///
/// An entry connects to all endpoints of a small service. Of a large one it selects the first in
/// its own rendezvous order, as many in its own zone as in all others together, so that the subsets
/// of all entries cover every endpoint evenly, and an entry whose zone is out has as many
/// elsewhere. A service with a route that may not be repeated is not divided: its idempotency keys
/// have owners, the only endpoints that may run their requests.
#[must_use]
pub fn select_subset<'a>(
    document: &'a Document,
    entry: &str,
    own_zone: &id::Zone,
) -> BTreeSet<&'a id::Endpoint> {
    let other_zones = document.zones.len().saturating_sub(1).max(1);
    let max_per_other_zone = MAX_ENDPOINTS.div_ceil(other_zones);
    let hash = xxh3_64(entry.as_bytes());
    let mut subset = BTreeSet::new();
    for (name, service) in &document.services {
        for zone in document.zones.keys() {
            let in_zone = document.endpoints.iter();
            let in_zone = in_zone.filter(|(_, e)| e.service == *name && e.zone == *zone);
            let mut in_zone: Vec<_> = in_zone.map(|(name, _)| name).collect();
            if is_divisible(service) {
                in_zone.sort_by_key(|endpoint| rendezvous_key(hash, endpoint));
                in_zone.truncate(if zone == own_zone {
                    MAX_ENDPOINTS
                } else {
                    max_per_other_zone
                });
            }
            subset.extend(in_zone);
        }
    }
    subset
}

/// Returns whether entries may connect to different endpoints of a service.
fn is_divisible(service: &Service) -> bool {
    service.kind == ServiceKind::Group && service.routes.iter().all(|r| r.repeatable)
}
