use std::collections::BTreeMap;

use conf::{Document, ZoneState, id};
use tokio::time::Instant;
use wire::Hint;

use crate::{
    affinity::rendezvous_key,
    call::Call,
    health::{Domain, Health},
};

/// Largest load of an endpoint selected by prefix, in percent of the mean of its zone.
const MAX_RELATIVE_LOAD_PERCENT: u64 = 125;
/// An endpoint may always be loaded up to 1 / `FREE_LOAD_DIVISOR` of its limit.
const FREE_LOAD_DIVISOR: u64 = 4;

/// Load of an endpoint whose agent is connected.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Load {
    /// Load and limit that the agent last reported.
    pub(crate) hint: Hint,
    /// Number of offers that the agent has not answered yet.
    pub(crate) pending_offers: u32,
}

impl Load {
    /// Returns the number of attempts that run, are queued or are offered.
    fn total(&self) -> u64 {
        u64::from(self.hint.running) + u64::from(self.hint.queued) + u64::from(self.pending_offers)
    }

    fn limit(&self) -> u64 {
        u64::from(self.hint.limit)
    }

    fn has_capacity(&self) -> bool {
        self.total() < self.limit()
    }

    /// Returns the load in thousandths of the limit.
    fn per_mille(&self) -> u64 {
        self.total() * 1000 / self.limit().max(1)
    }
}

/// Selects the endpoint for one attempt.
pub(crate) struct Selector<'a> {
    pub(crate) document: &'a Document,
    /// Zone of the entry.
    pub(crate) zone: &'a id::Zone,
    pub(crate) loads: &'a BTreeMap<id::Endpoint, Load>,
    pub(crate) health: &'a Health,
    pub(crate) call: &'a Call,
    /// Hash of the prefix that determines the rendezvous order of the endpoints.
    pub(crate) hash: u64,
    pub(crate) now: Instant,
}

type Candidate<'a> = (&'a id::Endpoint, &'a Load);

impl Selector<'_> {
    /// Returns an endpoint in the own zone while it has capacity, otherwise in the zone with the
    /// most capacity left, and if no zone has any, the least loaded one with the own zone first,
    /// whose agent then decides.
    ///
    /// Unhealthy endpoints are used only if there are no others.
    pub(crate) fn select(&self) -> Option<id::Endpoint> {
        let eligible = self.loads.iter().filter(|c| self.is_eligible(c.0, c.1));
        let eligible: Vec<Candidate<'_>> = eligible.collect();
        let healthy = eligible.iter().copied().filter(|c| self.is_healthy(c.0));
        let healthy: Vec<_> = healthy.collect();
        let usable = if healthy.is_empty() {
            eligible
        } else {
            healthy
        };
        let selected = self.select_with_capacity(&usable);
        let selected =
            selected.or_else(|| min_candidate(&usable, |c| (self.is_remote(c.0), c.1.per_mille())));
        selected.map(|(name, _)| name.clone())
    }

    fn select_with_capacity<'b>(&self, usable: &[Candidate<'b>]) -> Option<Candidate<'b>> {
        let free = usable.iter().copied().filter(|c| c.1.has_capacity());
        let (local, remote): (Vec<_>, Vec<_>) = free.partition(|c| !self.is_remote(c.0));
        if let Some(selected) = self.select_by_prefix(&local) {
            return Some(selected);
        }
        let zones = remote.iter().filter_map(|c| self.zone_of(c.0));
        let least_loaded = zones.min_by_key(|zone| {
            let in_zone = remote.iter().filter(|c| self.zone_of(c.0) == Some(zone));
            let (load, limit) = sum_loads(in_zone);
            (self.is_other_region(zone), load * 1000 / limit.max(1))
        })?;
        let in_zone = remote.iter().copied();
        let in_zone: Vec<_> = in_zone
            .filter(|c| self.zone_of(c.0) == Some(least_loaded))
            .collect();
        self.select_by_prefix(&in_zone)
    }

    /// Returns the first endpoint in rendezvous order within the load bound, or the least loaded
    /// one if none is: rendezvous hashing with bounded loads.
    fn select_by_prefix<'b>(&self, free: &[Candidate<'b>]) -> Option<Candidate<'b>> {
        let (load, limit) = sum_loads(free.iter());
        let mut ordered = free.to_vec();
        ordered.sort_by_key(|c| rendezvous_key(self.hash, c.0));
        let within_bound = |c: &Candidate<'_>| {
            let own_limit = c.1.limit();
            let bound = (load + 1) * own_limit * MAX_RELATIVE_LOAD_PERCENT / (limit.max(1) * 100);
            c.1.total() < bound.max(own_limit / FREE_LOAD_DIVISOR).max(1)
        };
        let selected = ordered.iter().copied().find(within_bound);
        selected.or_else(|| min_candidate(&ordered, |c| c.1.per_mille()))
    }

    /// Returns whether an endpoint may run the request and has not been tried.
    fn is_eligible(&self, name: &id::Endpoint, load: &Load) -> bool {
        let Some(endpoint) = self.document.endpoints.get(name) else {
            return false;
        };
        let zone = self.document.zones.get(&endpoint.zone);
        let in_service = zone.is_some_and(|z| z.state == ZoneState::In);
        let descriptor = &self.call.descriptor;
        let owner = descriptor.owner.as_ref();
        let may_own = owner.is_none_or(|owner| owner == name);
        endpoint.service == descriptor.service
            && !endpoint.leaving
            && in_service
            && may_own
            && load.hint.open
            && !self.call.tried.contains(name)
    }

    fn is_healthy(&self, name: &id::Endpoint) -> bool {
        self.health
            .is_available(&failure_domain(self.document, name), self.now)
    }

    fn zone_of(&self, name: &id::Endpoint) -> Option<&id::Zone> {
        self.document.endpoints.get(name).map(|e| &e.zone)
    }

    /// Returns whether an endpoint is in another zone than the entry.
    fn is_remote(&self, name: &id::Endpoint) -> bool {
        self.zone_of(name) != Some(self.zone)
    }

    /// Returns whether a zone is in another region than the entry.
    fn is_other_region(&self, zone: &id::Zone) -> bool {
        let region = |zone: &id::Zone| self.document.zones.get(zone).map(|z| &z.region);
        region(zone) != region(self.zone)
    }
}

/// Returns the failure domain of an endpoint: its group, or itself without one.
pub(crate) fn failure_domain(document: &Document, endpoint: &id::Endpoint) -> Domain {
    let group = document
        .endpoints
        .get(endpoint)
        .and_then(|e| e.group.clone());
    group.unwrap_or_else(|| endpoint.clone())
}

/// Returns the sums of the loads and of the limits.
fn sum_loads<'a>(candidates: impl Iterator<Item = &'a Candidate<'a>>) -> (u64, u64) {
    candidates.fold((0, 0), |(load, limit), c| {
        (load + c.1.total(), limit + c.1.limit())
    })
}

fn min_candidate<'a, K: Ord>(
    candidates: &[Candidate<'a>],
    key: impl Fn(&Candidate<'a>) -> K,
) -> Option<Candidate<'a>> {
    candidates.iter().copied().min_by_key(key)
}
