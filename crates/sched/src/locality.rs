use std::{collections::HashMap, time::Duration};

use conf::id;
use tokio::time::Instant;

use crate::Partition;

/// Interval at which the shares of a service are computed again.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);
/// Largest change of the shares in one update interval, in sum over the zones.
const MAX_CHANGE: f64 = 0.1;
/// Longest time since the last update that counts for the change of the shares, so that entries with
/// few requests do not all move the whole way at once.
const MAX_ELAPSED: Duration = Duration::from_millis(500);
/// Time over which a share is averaged: about that for which requests are in flight, 2 s, plus the age of
/// the load reports. With 1 s, requests that had not arrived yet counted as arrived, and the zone that
/// received them had 20% more than its slots (test `late_reports_do_not_oscillate`).
const AVERAGING_TIME: Duration = Duration::from_millis(2500);
/// Largest averaged share with which demand is estimated; the estimate has no bound near 1.
const MAX_AVERAGE: f64 = 0.95;
/// Share below which nothing leaves, so that moves towards 0 end there.
const MIN_SHARE: f64 = 0.001;
/// Part of its comfortable load by which a zone without spare capacity still counts, when all requests
/// must leave.
const MIN_WEIGHT: f64 = 0.02;
/// Time without requests after which the state of a service is removed.
const IDLE_TIME: Duration = Duration::from_secs(10);

/// Decides in which zone the requests of an entry run on engines.
///
/// Requests stay in the entry's own zone unless its load exceeds the comfortable load; then the share
/// that is in excess leaves, as far as other zones have spare capacity. All entries of a zone compute
/// the same share from the same load and need no agreement.
#[derive(Clone, Debug)]
pub struct Locality {
    zone: id::Zone,
    services: HashMap<id::Service, State>,
}

/// Zone in which a request runs, and the load that led to it.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// Zone in which the request should run.
    pub zone: id::Zone,
    /// Share of the requests that leaves the own zone, 0 to 1.
    pub share: f64,
    /// Load on which the share is based.
    pub balance: Balance,
}

/// Load of an entry's own zone and spare capacity elsewhere, in requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Balance {
    /// Known requests in flight in the groups with engines in the own zone.
    pub own_load: f64,
    /// Comfortable load of these groups.
    pub own_capacity: f64,
    /// Comfortable load minus known requests of other groups, summed over the zones where it is positive.
    pub spare_elsewhere: f64,
}

/// Shares of a service's requests.
#[derive(Clone, Debug)]
struct State {
    outflows: Vec<Outflow>,
    balance: Balance,
    updated_at: Instant,
}

/// Share of the requests that are sent to one other zone.
#[derive(Clone, Debug)]
struct Outflow {
    zone: id::Zone,
    share: f64,
    /// Average of the share over the requests in flight.
    average: f64,
    target: f64,
}

/// Capacity of one other zone outside the own groups.
struct Capacity<'a> {
    zone: &'a id::Zone,
    /// Comfortable load.
    comfortable: f64,
    /// Comfortable load minus known requests; negative if overloaded.
    spare: f64,
}

impl Locality {
    /// Creates the state of an entry in `zone`.
    #[must_use]
    pub fn new(zone: id::Zone) -> Self {
        Self {
            zone,
            services: HashMap::new(),
        }
    }

    /// Chooses the zone of a request to a service.
    ///
    /// `comfortable_load` returns the comfortable number of requests per engine of a partition; it counts
    /// up to the partition's slots. `random` is at least 0 and below 1.
    pub fn choose(
        &mut self,
        service: &id::Service,
        partitions: &[Partition],
        comfortable_load: impl Fn(&Partition) -> f64,
        random: f64,
        now: Instant,
    ) -> Decision {
        if !self.services.contains_key(service) {
            let state = State {
                outflows: Vec::new(),
                balance: Balance::default(),
                updated_at: now,
            };
            self.services.insert(service.clone(), state);
        }
        let Some(state) = self.services.get_mut(service) else {
            unreachable!("the state was inserted");
        };
        if state.is_due(&self.zone, partitions, now) {
            state.update(&self.zone, partitions, comfortable_load, now);
        }
        Decision {
            zone: state.pick(random).unwrap_or(&self.zone).clone(),
            share: state.share(),
            balance: state.balance,
        }
    }

    /// Removes the state of services without requests in the last 10 s.
    pub fn expire(&mut self, now: Instant) {
        self.services
            .retain(|_, state| now.duration_since(state.updated_at) < IDLE_TIME);
    }
}

impl State {
    fn share(&self) -> f64 {
        self.outflows.iter().map(|outflow| outflow.share).sum()
    }

    /// Returns the zone to which `random` falls, or `None` for the own one.
    fn pick(&self, random: f64) -> Option<&id::Zone> {
        let mut sum = 0.0;
        let mut used = self.outflows.iter().filter(|outflow| outflow.share > 0.0);
        let found = used.find(|outflow| {
            sum += outflow.share;
            random < sum
        });
        found.map(|outflow| &outflow.zone)
    }

    /// Returns whether the shares are to be computed: at intervals, and at once if no engine is left in
    /// the own zone or in one that gets requests.
    fn is_due(&self, own: &id::Zone, partitions: &[Partition], now: Instant) -> bool {
        let has_engines = |zone: &id::Zone| partitions.iter().any(|p| p.zone == *zone);
        let is_cut = !has_engines(own) && self.share() < 1.0 - MIN_SHARE;
        let mut used = self.outflows.iter().filter(|outflow| outflow.share > 0.0);
        now.duration_since(self.updated_at) >= UPDATE_INTERVAL
            || is_cut
            || used.any(|outflow| !has_engines(&outflow.zone))
    }

    fn update(
        &mut self,
        own: &id::Zone,
        partitions: &[Partition],
        comfortable_load: impl Fn(&Partition) -> f64,
        now: Instant,
    ) {
        let elapsed = now.duration_since(self.updated_at);
        self.updated_at = now;
        let weight = 1.0 - (-elapsed.div_duration_f64(AVERAGING_TIME)).exp();
        for outflow in &mut self.outflows {
            outflow.average += weight * (outflow.share - outflow.average);
        }
        let capacities = self.measure(own, partitions, comfortable_load);
        self.outflows.retain(|outflow| {
            let has_engines = capacities.iter().any(|c| c.zone == &outflow.zone);
            has_engines || outflow.average >= MIN_SHARE
        });
        for capacity in &capacities {
            if !self.outflows.iter().any(|o| &o.zone == capacity.zone) {
                self.outflows.push(Outflow {
                    zone: capacity.zone.clone(),
                    share: 0.0,
                    average: 0.0,
                    target: 0.0,
                });
            }
        }
        let max_change = MAX_CHANGE * elapsed.min(MAX_ELAPSED).div_duration_f64(UPDATE_INTERVAL);
        if partitions.iter().any(|p| p.zone == *own) {
            self.set_targets(&capacities);
            self.move_shares(&capacities, max_change);
        } else {
            self.set_targets_without_own(&capacities);
            self.move_shares(&capacities, max_change);
            self.fill();
        }
    }

    /// Records the load of the own groups, and returns the capacity of the other groups in each zone.
    fn measure<'a>(
        &mut self,
        own: &id::Zone,
        partitions: &'a [Partition],
        comfortable_load: impl Fn(&Partition) -> f64,
    ) -> Vec<Capacity<'a>> {
        let comfortable = |p: &Partition| {
            (f64::from(p.engines) * comfortable_load(p)).clamp(0.0, f64::from(p.slots))
        };
        let mut balance = Balance::default();
        let mut capacities: Vec<Capacity<'a>> = Vec::new();
        for partition in partitions {
            let group = || partitions.iter().filter(|p| p.group == partition.group);
            if group().any(|p| p.zone == *own) {
                balance.own_load += f64::from(partition.requests);
                balance.own_capacity += comfortable(partition);
                continue;
            }
            // The spare capacity of a group in several zones is divided among them by size.
            let (total, load) = group().fold((0.0, 0.0), |(total, load), p| {
                (total + comfortable(p), load + f64::from(p.requests))
            });
            let part = comfortable(partition);
            let spare = match total > 0.0 {
                true => (total - load) * part / total,
                false => -f64::from(partition.requests),
            };
            match capacities.iter_mut().find(|c| c.zone == &partition.zone) {
                Some(capacity) => {
                    capacity.comfortable += part;
                    capacity.spare += spare;
                }
                None => capacities.push(Capacity {
                    zone: &partition.zone,
                    comfortable: part,
                    spare,
                }),
            }
        }
        balance.spare_elsewhere = capacities.iter().map(|c| c.spare.max(0.0)).sum();
        self.balance = balance;
        capacities
    }

    /// Sets the target shares by the excess of the own zone and what is available in the others.
    fn set_targets(&mut self, capacities: &[Capacity<'_>]) {
        let Balance {
            own_load,
            own_capacity,
            ..
        } = self.balance;
        let left: f64 = self.outflows.iter().map(|outflow| outflow.average).sum();
        let demand = own_load / (1.0 - left.min(MAX_AVERAGE));
        let excess = (demand - own_capacity).max(0.0);
        // Other zones with a visible excess want the same spare capacity.
        let others: f64 = capacities.iter().map(|c| (-c.spare).max(0.0)).sum();
        let visible = (own_load - own_capacity).max(0.0);
        let claim = match others > 0.0 {
            true => visible / (visible + others),
            false => 1.0,
        };
        // Up to as many zones as there are others react to the same figure; above a gain of 2 for all of
        // them together, their late reactions would add up to an oscillation.
        let damping = (2.0 / capacities.len().max(1) as f64).min(1.0);
        let mut available = 0.0;
        for outflow in &mut self.outflows {
            let found = capacities.iter().find(|c| c.zone == &outflow.zone);
            outflow.target = found.map_or(0.0, |capacity| {
                let part = if capacity.spare > 0.0 { claim } else { 1.0 };
                (demand * outflow.average + damping * part * capacity.spare).max(0.0)
            });
            available += outflow.target;
        }
        let factor = match available > 0.0 && demand > 0.0 {
            true => excess.min(available) / demand / available,
            false => 0.0,
        };
        for outflow in &mut self.outflows {
            outflow.target *= factor;
        }
    }

    /// Sets the target shares by spare capacity for a zone without usable engines, so that all leaves.
    fn set_targets_without_own(&mut self, capacities: &[Capacity<'_>]) {
        let weight = |c: &Capacity<'_>| c.spare.max(MIN_WEIGHT * c.comfortable).max(MIN_SHARE);
        let sum: f64 = capacities.iter().map(weight).sum();
        for outflow in &mut self.outflows {
            let found = capacities.iter().find(|c| c.zone == &outflow.zone);
            outflow.target = found.map_or(0.0, |capacity| weight(capacity) / sum);
        }
    }

    /// Moves the shares towards their targets by `max_change` in sum; zones without engines get nothing
    /// at once.
    fn move_shares(&mut self, capacities: &[Capacity<'_>], max_change: f64) {
        let (mut up, mut down) = (0.0, 0.0);
        for outflow in &mut self.outflows {
            if !capacities.iter().any(|c| c.zone == &outflow.zone) {
                outflow.share = 0.0;
            }
            let change = outflow.target - outflow.share;
            up += change.max(0.0);
            down += (-change).max(0.0);
        }
        let largest = f64::max(up, down);
        let factor = if largest > max_change {
            max_change / largest
        } else {
            1.0
        };
        for outflow in &mut self.outflows {
            outflow.share += factor * (outflow.target - outflow.share);
            if outflow.target == 0.0 && outflow.share < MIN_SHARE {
                outflow.share = 0.0;
            }
        }
    }

    /// Raises the shares to a sum of 1, by the targets if nothing has left so far.
    fn fill(&mut self) {
        let missing = 1.0 - self.share();
        let targets: f64 = self.outflows.iter().map(|outflow| outflow.target).sum();
        if targets > 0.0 {
            for outflow in &mut self.outflows {
                outflow.share += missing * outflow.target / targets;
            }
        }
    }
}
