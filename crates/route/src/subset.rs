use std::collections::BTreeSet;

use conf::{Document, Service, ServiceKind, id};
use xxhash_rust::xxh3::xxh3_64;

use crate::affinity::rank;

/// Endpoints of a service that one entry talks to in its own zone, and in all others together.
const SIZE: usize = 32;

/// Returns the endpoints that an entry keeps links to.
///
/// Small services are linked whole. Of large ones each entry takes the first in its own rendezvous
/// order, as many in its own zone as in all others together, so that the subsets of all entries
/// cover every endpoint evenly and an entry whose zone is out has as much elsewhere. A service
/// with a route that may not be repeated is always linked whole: its keys have owners.
#[must_use]
pub fn select_subset<'a>(
    document: &'a Document,
    entry: &str,
    home: &id::Zone,
) -> BTreeSet<&'a id::Endpoint> {
    let others = document.zones.len().saturating_sub(1).max(1);
    let far = SIZE.div_ceil(others);
    let seed = xxh3_64(entry.as_bytes());
    let mut chosen = BTreeSet::new();
    for (name, service) in &document.services {
        for zone in document.zones.keys() {
            let of_zone = document.endpoints.iter();
            let of_zone = of_zone.filter(|(_, e)| e.service == *name && e.zone == *zone);
            let mut of_zone: Vec<_> = of_zone.map(|(name, _)| name).collect();
            if divisible(service) {
                of_zone.sort_by_key(|endpoint| rank(seed, endpoint));
                of_zone.truncate(if zone == home { SIZE } else { far });
            }
            chosen.extend(of_zone);
        }
    }
    chosen
}

fn divisible(service: &Service) -> bool {
    service.kind == ServiceKind::Group && service.routes.iter().all(|r| r.repeatable)
}
