use std::collections::BTreeSet;

use conf::{Document, Service, ServiceKind, id};
use xxhash_rust::xxh3::xxh3_64;

use crate::affinity::rank;

/// Endpoints of a service that one entry talks to, in each zone.
const SIZE: usize = 32;

/// Returns the endpoints that an entry keeps links to.
///
/// Small services are linked whole. Of large ones each entry takes, zone by zone, the first in its
/// own rendezvous order, so that the subsets of all entries cover every endpoint evenly. A service
/// with a route that may not be repeated is always linked whole: its keys have owners.
#[must_use]
pub fn subset<'a>(document: &'a Document, entry: &str) -> BTreeSet<&'a id::Endpoint> {
    let seed = xxh3_64(entry.as_bytes());
    let mut chosen = BTreeSet::new();
    for (name, service) in &document.services {
        for zone in document.zones.keys() {
            let of_zone = document.endpoints.iter();
            let of_zone = of_zone.filter(|(_, e)| e.service == *name && e.zone == *zone);
            let mut of_zone: Vec<_> = of_zone.map(|(name, _)| name).collect();
            if divisible(service) {
                of_zone.sort_by_key(|endpoint| rank(seed, endpoint));
                of_zone.truncate(SIZE);
            }
            chosen.extend(of_zone);
        }
    }
    chosen
}

fn divisible(service: &Service) -> bool {
    service.kind == ServiceKind::Group && service.routes.iter().all(|r| r.repeatable)
}
