use std::collections::BTreeMap;

use conf::{Document, ZoneState, id};
use tokio::time::Instant;
use wire::Hint;

use crate::{
    affinity::rank,
    call::Call,
    health::{Health, Unit},
};

/// Load over the mean of its zone that an endpoint may have for the sake of its cache, in percent.
const BOUND: u64 = 125;
/// Part of its limit that an endpoint may always be loaded to: one over this.
const FREE: u64 = 4;

/// Endpoint whose agent is linked.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Peer {
    pub(crate) hint: Hint,
    /// Offers that it has not answered yet.
    pub(crate) offered: u32,
}

impl Peer {
    fn load(&self) -> u64 {
        u64::from(self.hint.running) + u64::from(self.hint.queued) + u64::from(self.offered)
    }

    fn limit(&self) -> u64 {
        u64::from(self.hint.limit)
    }

    fn has_room(&self) -> bool {
        self.load() < self.limit()
    }

    /// Returns the load in thousandths of the limit.
    fn ratio(&self) -> u64 {
        self.load() * 1000 / self.limit().max(1)
    }
}

/// Looks for the endpoint of one attempt.
pub(crate) struct Choice<'a> {
    pub(crate) document: &'a Document,
    pub(crate) zone: &'a id::Zone,
    pub(crate) peers: &'a BTreeMap<id::Endpoint, Peer>,
    pub(crate) health: &'a Health,
    pub(crate) call: &'a Call,
    /// Hash that orders the endpoints.
    pub(crate) hash: u64,
    pub(crate) now: Instant,
}

type Candidate<'a> = (&'a id::Endpoint, &'a Peer);

impl Choice<'_> {
    /// Returns the endpoint: in the own zone while it has room, then in the zone with the most
    /// room, and if none has any, the least loaded of all.
    pub(crate) fn find(&self) -> Option<id::Endpoint> {
        let all: Vec<Candidate<'_>> = self.peers.iter().filter(|c| self.fits(c.0, c.1)).collect();
        let healthy: Vec<_> = all.iter().copied().filter(|c| self.healthy(c.0)).collect();
        let usable = if healthy.is_empty() { all } else { healthy };
        let found = self.with_room(&usable);
        let found = found.or_else(|| least(&usable, |c| (self.far(c.0), c.1.ratio())));
        found.map(|(name, _)| name.clone())
    }

    fn with_room<'b>(&self, usable: &[Candidate<'b>]) -> Option<Candidate<'b>> {
        let free = usable.iter().copied().filter(|c| c.1.has_room());
        let (own, other): (Vec<_>, Vec<_>) = free.partition(|c| !self.far(c.0));
        if let Some(found) = self.near_cache(&own) {
            return Some(found);
        }
        let zones = other.iter().filter_map(|c| self.zone_of(c.0));
        let roomiest = zones.min_by_key(|zone| {
            let in_zone = other.iter().filter(|c| self.zone_of(c.0) == Some(zone));
            let (load, limit) = sum(in_zone);
            (self.abroad(zone), load * 1000 / limit.max(1))
        })?;
        let in_zone = other.iter().copied();
        let in_zone: Vec<_> = in_zone
            .filter(|c| self.zone_of(c.0) == Some(roomiest))
            .collect();
        self.near_cache(&in_zone)
    }

    /// Returns the first in rendezvous order that is not loaded far beyond the mean.
    fn near_cache<'b>(&self, free: &[Candidate<'b>]) -> Option<Candidate<'b>> {
        let (load, limit) = sum(free.iter());
        let mut ordered = free.to_vec();
        ordered.sort_by_key(|c| rank(self.hash, c.0));
        let bounded = |c: &Candidate<'_>| {
            let share = (load + 1) * c.1.limit() * BOUND / (limit.max(1) * 100);
            c.1.load() < share.max(c.1.limit() / FREE).max(1)
        };
        let found = ordered.iter().copied().find(bounded);
        found.or_else(|| least(&ordered, |c| c.1.ratio()))
    }

    fn fits(&self, name: &id::Endpoint, peer: &Peer) -> bool {
        let Some(endpoint) = self.document.endpoints.get(name) else {
            return false;
        };
        let zone = self.document.zones.get(&endpoint.zone);
        let in_service = zone.is_some_and(|z| z.state == ZoneState::In);
        let owned = self.call.ask.owner.as_ref();
        let owned = owned.is_none_or(|owner| owner == name);
        endpoint.service == self.call.ask.service
            && !endpoint.leaving
            && in_service
            && owned
            && peer.hint.open
            && !self.call.tried.contains(name)
    }

    fn healthy(&self, name: &id::Endpoint) -> bool {
        self.health.allows(&unit(self.document, name), self.now)
    }

    fn zone_of(&self, name: &id::Endpoint) -> Option<&id::Zone> {
        self.document.endpoints.get(name).map(|e| &e.zone)
    }

    fn far(&self, name: &id::Endpoint) -> bool {
        self.zone_of(name) != Some(self.zone)
    }

    fn abroad(&self, zone: &id::Zone) -> bool {
        let region = |zone: &id::Zone| self.document.zones.get(zone).map(|z| &z.region);
        region(zone) != region(self.zone)
    }
}

/// Returns the unit of health that an endpoint belongs to.
pub(crate) fn unit(document: &Document, endpoint: &id::Endpoint) -> Unit {
    let group = document
        .endpoints
        .get(endpoint)
        .and_then(|e| e.group.clone());
    group.unwrap_or_else(|| endpoint.clone())
}

fn sum<'a>(candidates: impl Iterator<Item = &'a Candidate<'a>>) -> (u64, u64) {
    candidates.fold((0, 0), |(load, limit), c| {
        (load + c.1.load(), limit + c.1.limit())
    })
}

fn least<'a, K: Ord>(
    candidates: &[Candidate<'a>],
    key: impl Fn(&Candidate<'a>) -> K,
) -> Option<Candidate<'a>> {
    candidates.iter().copied().min_by_key(key)
}
