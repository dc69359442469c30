//! Measured duration of the passes of groups, and the comfortable load that follows from it.

use std::{collections::HashMap, sync::Arc, time::Duration};

use conf::id;
use fleet::{Configuration, Engine, View};
use sched::{Forecast, Load, Partition, Ranks};
use tokio::time::Instant;

use super::{Balancer, Partitions, Placement};
use crate::terms::Terms;

/// Time for which the load of the groups of a service is not summed again.
const LOAD_TTL: Duration = Duration::from_millis(50);
/// Shortest time between two notices of a group's comfortable load.
const NOTICE_INTERVAL: Duration = Duration::from_secs(1);
/// Least change of a comfortable load that is reported, in requests per engine.
const MIN_CHANGE: f64 = 0.5;

/// Service of a group, and the group if it is known.
type Group = (id::Service, Option<group::Key>);

/// Comfortable load of each group of a service, as a part of its slots.
pub(super) type Usages = HashMap<Option<group::Key>, f64>;

/// Measured passes and the load under which they ran.
#[derive(Default)]
pub(super) struct Passes {
    forecast: Forecast,
    /// Partitions of each service, and the time at which they were counted.
    partitions: HashMap<id::Service, (Instant, Arc<[Partition]>)>,
    notices: HashMap<Group, Notice>,
}

impl Passes {
    /// Removes what is too old to count.
    pub(super) fn remove_expired(&mut self, now: Instant) {
        self.forecast.remove_expired(now);
        self.partitions
            .retain(|_, (at, _)| now.duration_since(*at) < LOAD_TTL);
        let forecast = &self.forecast;
        self.notices.retain(|(service, group), _| {
            let excess = forecast.peak_excess(service, group.as_ref(), now);
            excess.is_some()
        });
    }

    /// Returns whether the comfortable load of a group was not calculated within the last 50 ms.
    fn is_check_due(&self, group: &Group, now: Instant) -> bool {
        let notice = self.notices.get(group);
        notice.is_none_or(|notice| now.duration_since(notice.checked_at) >= LOAD_TTL)
    }

    /// Records the comfortable load of a group; returns whether a notice of it is due.
    fn record_check(&mut self, group: Group, slots: f64, load: f64, now: Instant) -> bool {
        let notice = self.notices.entry(group).or_insert(Notice {
            checked_at: now,
            sent_at: None,
            load: slots,
        });
        notice.checked_at = now;
        let is_early = |at: Instant| now.duration_since(at) < NOTICE_INTERVAL;
        if notice.sent_at.is_some_and(is_early) || (load - notice.load).abs() < MIN_CHANGE {
            return false;
        }
        (notice.sent_at, notice.load) = (Some(now), load);
        true
    }
}

/// Comfortable load of a group as it was last reported.
#[derive(Clone, Copy)]
struct Notice {
    /// Time at which the comfortable load was last calculated.
    checked_at: Instant,
    /// Time of the last notice, if there was one.
    sent_at: Option<Instant>,
    load: f64,
}

/// Result of recording a gap between two events.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reading {
    /// How far the duration of a pass was from its prediction, at most once for each pass.
    pub error: Option<Duration>,
    /// Present if the comfortable load of the group has changed since the last notice.
    pub comfort: Option<Comfort>,
}

/// Comfortable load of a group, and the measurements that it follows from.
#[derive(Clone, Debug, PartialEq)]
pub struct Comfort {
    /// Service of the group.
    pub service: id::Service,
    /// Name of the group, if it is known.
    pub group: Option<group::Name>,
    /// Highest time of the last 20 s by which passes would exceed their base with all slots taken.
    pub excess: Duration,
    /// Comfortable load, in requests per engine.
    pub load: f64,
    /// Duration that is predicted for the next pass.
    pub pass: Duration,
}

/// Returns the averages of a group; `None` if it has no engine that may get requests.
fn average(partitions: &[Partition], group: Option<&group::Key>) -> Option<Load> {
    let own = partitions
        .iter()
        .filter(|partition| partition.group.as_ref() == group);
    let zero = (0.0, 0.0, 0.0);
    let (engines, slots, requests) = own.fold(zero, |(engines, slots, requests), part| {
        (
            engines + f64::from(part.engines),
            slots + f64::from(part.slots),
            requests + f64::from(part.requests),
        )
    });
    (engines > 0.0).then(|| Load {
        slots: slots / engines,
        requests: requests / engines,
    })
}

/// # Ranks
impl Balancer {
    /// Returns the levels of requests under a configuration.
    pub fn ranks(&mut self, configuration: &Arc<Configuration>) -> &Ranks {
        Terms::update(&mut self.terms, configuration).ranks()
    }
}

/// # Passes
impl Balancer {
    /// Records the time between two events of one response.
    pub fn record_gap(
        &mut self,
        view: &View,
        placement: &Placement,
        gap: Duration,
        now: Instant,
    ) -> Reading {
        let service = &placement.service;
        let Some(engine) = engine(view, service) else {
            return Reading::default();
        };
        let partitions = self.partitions(view, service, now);
        let group = self.groups.group(placement.address).cloned();
        let group = group.as_ref();
        let Some(average) = average(&partitions, group) else {
            return Reading::default();
        };
        let forecast = &mut self.passes.forecast;
        let error = forecast.record_gap(service, group, engine, gap, average, now);
        let key = (service.clone(), group.cloned());
        if !self.passes.is_check_due(&key, now) {
            let comfort = None;
            return Reading { error, comfort };
        }
        let load = self.comfortable_load(view, service, group, average.slots, now);
        let is_notice = self.passes.record_check(key, average.slots, load, now);
        let forecast = &self.passes.forecast;
        let comfort = is_notice.then(|| Comfort {
            service: service.clone(),
            group: group.map(|(_, name)| name.clone()),
            excess: forecast
                .peak_excess(service, group, now)
                .unwrap_or_default(),
            load,
            pass: forecast.pass(service, group, engine, average, now),
        });
        Reading { error, comfort }
    }

    /// Returns the largest number of requests per engine at which the passes of a group meet the smallest gap
    /// target of the service's routes; all slots if no route states one or no pass was measured.
    ///
    /// `slots` is the average per engine of the group.
    pub(super) fn comfortable_load(
        &mut self,
        view: &View,
        service: &id::Service,
        group: Option<&group::Key>,
        slots: f64,
        now: Instant,
    ) -> f64 {
        let (Some(configuration), Some(engine)) = (&view.configuration, engine(view, service))
        else {
            return slots;
        };
        let terms = Terms::update(&mut self.terms, configuration);
        let Some(target) = terms.gap_target(service) else {
            return slots;
        };
        let forecast = &self.passes.forecast;
        forecast.comfortable_load(service, group, engine, slots, target, now)
    }

    /// Returns the comfortable load of each group of a service, as a part of its slots.
    ///
    /// An entry that sends nothing to a group does not measure it. Since the groups of a service run the same
    /// engines and share its demand, such a group counts with the mean of the measured ones.
    pub(super) fn comfortable_usages(
        &mut self,
        view: &View,
        service: &id::Service,
        now: Instant,
    ) -> Usages {
        let partitions = self.partitions(view, service, now);
        let mut usages = Usages::new();
        let (mut sum, mut measured, mut unmeasured) = (0.0, 0_u32, Vec::new());
        for partition in partitions.iter() {
            let group = partition.group.as_ref();
            if usages.contains_key(&partition.group) {
                continue;
            }
            if let Some(Load { slots, .. }) = average(&partitions, group) {
                let load = self.comfortable_load(view, service, group, slots, now);
                let is_measured = self
                    .passes
                    .forecast
                    .peak_excess(service, group, now)
                    .is_some();
                if is_measured {
                    (sum, measured) = (sum + load / slots, measured + 1);
                } else {
                    unmeasured.push(partition.group.clone());
                }
                usages.insert(partition.group.clone(), load / slots);
            }
        }
        if measured > 0 {
            let mean = sum / f64::from(measured);
            usages.extend(unmeasured.into_iter().map(|group| (group, mean)));
        }
        usages
    }

    /// Returns the lowest comfortable load of the groups for which it is known, in requests per engine.
    pub fn lowest_comfortable_load(&mut self, view: &View, now: Instant) -> Option<f64> {
        let configuration = view.configuration.as_ref()?;
        let mut lowest: Option<f64> = None;
        for service in configuration.services.keys() {
            let terms = Terms::update(&mut self.terms, configuration);
            if engine(view, service).is_none() || terms.gap_target(service).is_none() {
                continue;
            }
            let partitions = self.partitions(view, service, now);
            for partition in partitions.iter() {
                let group = partition.group.as_ref();
                if self
                    .passes
                    .forecast
                    .peak_excess(service, group, now)
                    .is_none()
                {
                    continue;
                }
                if let Some(average) = average(&partitions, group) {
                    let load = self.comfortable_load(view, service, group, average.slots, now);
                    lowest = Some(lowest.map_or(load, |lowest| lowest.min(load)));
                }
            }
        }
        lowest
    }

    /// Returns the engines of a service that may get requests by group and zone, with loads that are at most
    /// 50 ms old.
    pub(super) fn partitions(
        &mut self,
        view: &View,
        service: &id::Service,
        now: Instant,
    ) -> Arc<[Partition]> {
        if let Some((at, partitions)) = self.passes.partitions.get(service)
            && now.duration_since(*at) < LOAD_TTL
        {
            return partitions.clone();
        }
        let mut counted = Partitions::default();
        for (id, known) in view.available(service, now) {
            let endpoint = &known.endpoint;
            let group = self.groups.group(endpoint.address);
            let requests = self.loads.total(id, now).requests;
            counted.count(group, &endpoint.zone, endpoint.slots.max(1), requests);
        }
        let partitions: Arc<[Partition]> = counted.as_slice().into();
        let counted = (now, partitions.clone());
        self.passes.partitions.insert(service.clone(), counted);
        partitions
    }
}

/// Returns the published performance of a service's engines, if it has engines.
fn engine<'a>(view: &'a View, service: &id::Service) -> Option<&'a Engine> {
    let service = view.configuration.as_ref()?.services.get(service)?;
    service.engine.as_ref()
}
