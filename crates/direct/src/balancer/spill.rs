//! Choice of the zone of a request, and the share of requests that leave the own zone.

use std::{collections::HashMap, time::Duration};

use conf::id;
use fleet::View;
use rand::RngExt as _;
use sched::{Balance, Partition, latency};
use tokio::time::Instant;

use super::{Attempt, Balancer, Partitions, Usages};

/// Delay between two zones, one way, if the configuration states none.
const DEFAULT_DELAY: Duration = Duration::from_millis(1);
/// Weight of the newest request in the average share of a plain service.
const NEWEST_WEIGHT: f64 = 0.02;
/// Average share of a plain service that counts as 0.
const MIN_SHARE: f64 = 0.01;
/// Shortest time between two reports of a service.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Change of a share that is reported.
const REPORTED_CHANGE: f64 = 0.05;
/// Time without requests after which the share of a service no longer counts.
const IDLE_TIME: Duration = Duration::from_secs(10);

/// Change of the share of a service's requests that leave the zone.
#[derive(Clone, Debug, PartialEq)]
pub struct Spill {
    /// Name of the service.
    pub service: id::Service,
    /// Share of the requests that leaves, 0 to 1.
    pub share: f64,
    /// Load on which the share is based.
    pub balance: Balance,
}

/// Share of each service's requests that leaves the zone, and what was reported of it.
#[derive(Clone, Debug, Default)]
pub(super) struct Spills {
    services: HashMap<id::Service, Record>,
    /// Changes that have not been taken.
    pending: Vec<Spill>,
}

#[derive(Clone, Debug)]
struct Record {
    share: f64,
    updated_at: Instant,
    reported: f64,
    reported_at: Option<Instant>,
}

impl Spills {
    /// Removes the shares of services that are no longer known.
    pub(super) fn retain(&mut self, known: impl Fn(&id::Service) -> bool) {
        self.services.retain(|service, _| known(service));
    }

    /// Records whether a request to a plain service leaves.
    fn record_left(&mut self, service: &id::Service, left: bool, balance: Balance, now: Instant) {
        let before = self
            .services
            .get(service)
            .map_or(0.0, |record| record.share);
        let share = before + NEWEST_WEIGHT * (f64::from(u8::from(left)) - before);
        let share = if share < MIN_SHARE { 0.0 } else { share };
        self.record(service, share, balance, now);
    }

    /// Records the share of a service, and reports it if it crosses 0 or has changed enough.
    fn record(&mut self, service: &id::Service, share: f64, balance: Balance, now: Instant) {
        if !self.services.contains_key(service) {
            let record = Record {
                share,
                updated_at: now,
                reported: 0.0,
                reported_at: None,
            };
            self.services.insert(service.clone(), record);
        }
        let Some(record) = self.services.get_mut(service) else {
            return;
        };
        (record.share, record.updated_at) = (share, now);
        let has_crossed = (share > 0.0) != (record.reported > 0.0);
        let is_recent = |at: Instant| now.duration_since(at) < REPORT_INTERVAL;
        let is_notable = has_crossed || (share - record.reported).abs() >= REPORTED_CHANGE;
        if is_notable && !record.reported_at.is_some_and(is_recent) {
            (record.reported, record.reported_at) = (share, Some(now));
            self.pending.push(Spill {
                service: service.clone(),
                share,
                balance,
            });
        }
    }
}

/// # Zones
impl Balancer {
    /// Returns the zone in which a request should run, its own or another.
    pub(super) fn choose_zone(
        &mut self,
        view: &View,
        attempt: &Attempt<'_>,
        partitions: &Partitions<'_>,
        usages: &Usages,
        now: Instant,
    ) -> id::Zone {
        let service = attempt.service;
        let has_engine = view
            .configuration
            .as_ref()
            .and_then(|configuration| configuration.services.get(service))
            .is_some_and(|service| service.engine.is_some());
        if !has_engine {
            let zone = self.fastest_zone(view, partitions);
            let balance = partitions.balance(&self.zone);
            let left = zone != self.zone;
            self.spills.record_left(service, left, balance, now);
            return zone;
        }
        let random = self.random.random_range(0.0..1.0);
        let comfortable_load = |p: &Partition| {
            let usage = usages.get(&p.group).copied().unwrap_or(1.0);
            usage * f64::from(p.slots) / f64::from(p.engines.max(1))
        };
        let partitions = partitions.as_slice();
        let decision = self
            .locality
            .choose(service, partitions, comfortable_load, random, now);
        self.spills
            .record(service, decision.share, decision.balance, now);
        decision.zone
    }

    /// Returns the own zone, or one in which a plain service's response is expected earlier by enough.
    fn fastest_zone(&self, view: &View, partitions: &Partitions<'_>) -> id::Zone {
        let own = partitions.times().find(|(zone, _)| **zone == self.zone);
        let round_trip = |zone: &id::Zone| {
            let configuration = view.configuration.as_ref();
            let delay = configuration.and_then(|c| c.zone_delay(&self.zone, zone));
            delay.unwrap_or(DEFAULT_DELAY).saturating_mul(2)
        };
        let others = partitions.times().filter(|(zone, _)| **zone != self.zone);
        let others = others.map(|(zone, time)| (zone, time, round_trip(zone)));
        let fastest = others.min_by_key(|(_, time, round_trip)| time.saturating_add(*round_trip));
        let is_better =
            |time, round_trip| own.is_none_or(|(_, own)| latency::is_gain(own, time, round_trip));
        fastest
            .filter(|(_, time, round_trip)| is_better(*time, *round_trip))
            .map_or_else(|| self.zone.clone(), |(zone, ..)| zone.clone())
    }

    /// Returns the changes of the shares that leave the zone since the last call: when a share becomes 0 or
    /// more than 0, and when it changes by 0.05 or more; at most one a second for each service.
    #[must_use]
    pub fn take_spills(&mut self) -> Vec<Spill> {
        std::mem::take(&mut self.spills.pending)
    }

    /// Returns the highest share over the services that had requests in the last 10 s.
    #[must_use]
    pub fn highest_spill(&self, now: Instant) -> f64 {
        let records = self.spills.services.values();
        let recent = records.filter(|record| now.duration_since(record.updated_at) < IDLE_TIME);
        recent.map(|record| record.share).fold(0.0, f64::max)
    }
}
