//! Usable endpoints of a service by group and zone, and the best of each.

use std::time::Duration;

use conf::id;
use fleet::Registration;
use sched::{Balance, Partition};

/// How well an endpoint can take a request, from best to worst.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Fitness {
    /// Requests and pending prompts weigh less than its slots.
    Room,
    /// The request would have to wait there.
    Full,
    /// It is cold, or often fails or declines requests; it is not preferred for its zone.
    Impaired,
}

/// Endpoint that may get the request.
#[derive(Debug)]
pub(super) struct Candidate<'a> {
    /// Load and penalties, in generating requests; the lowest is chosen.
    pub(super) score: f64,
    pub(super) fitness: Fitness,
    pub(super) endpoint: &'a id::Endpoint,
    pub(super) known: &'a Registration,
    /// Known requests of all entries in flight there.
    pub(super) requests: u32,
    pub(super) cold: bool,
    /// Requests per second that the endpoint states it takes, if it does.
    pub(super) limit: Option<f64>,
}

/// Candidate of each fitness with the lowest score in a partition.
#[derive(Debug, Default)]
struct Best<'a> {
    candidates: [Option<Candidate<'a>>; 3],
    /// Shortest predicted response time of the endpoints that are not impaired.
    time: Option<Duration>,
}

/// Partitions of the usable endpoints of one service.
///
/// Only the best candidates are kept, so that nothing is allocated for each endpoint.
#[derive(Debug, Default)]
pub(super) struct Partitions<'a> {
    partitions: Vec<Partition>,
    /// Best candidates of the partition with the same index.
    best: Vec<Best<'a>>,
}

impl<'a> Partitions<'a> {
    /// Returns the partitions and their load.
    pub(super) fn as_slice(&self) -> &[Partition] {
        &self.partitions
    }

    /// Counts a usable endpoint; returns the index of its partition.
    pub(super) fn count(
        &mut self,
        group: Option<&group::Key>,
        zone: &id::Zone,
        slots: u32,
        requests: u32,
    ) -> usize {
        let mut partitions = self.partitions.iter();
        let found = partitions.position(|p| p.zone == *zone && p.group.as_ref() == group);
        let index = found.unwrap_or_else(|| {
            self.partitions.push(Partition {
                group: group.cloned(),
                zone: zone.clone(),
                engines: 0,
                slots: 0,
                requests: 0,
            });
            self.best.push(Best::default());
            self.partitions.len() - 1
        });
        let partition = &mut self.partitions[index];
        partition.engines += 1;
        partition.slots = partition.slots.saturating_add(slots);
        partition.requests = partition.requests.saturating_add(requests);
        index
    }

    /// Adds a candidate to the partition with the given index.
    pub(super) fn offer(&mut self, index: usize, candidate: Candidate<'a>) {
        let best = &mut self.best[index].candidates[candidate.fitness as usize];
        if best.as_ref().is_none_or(|b| candidate.score < b.score) {
            *best = Some(candidate);
        }
    }

    /// Records the predicted response time of a candidate in the partition with the given index.
    pub(super) fn record_time(&mut self, index: usize, time: Duration) {
        let best = &mut self.best[index].time;
        *best = Some(best.map_or(time, |shortest| shortest.min(time)));
    }

    /// Lists the shortest predicted response time in each zone.
    pub(super) fn times(&self) -> impl Iterator<Item = (&id::Zone, Duration)> {
        let both = self.partitions.iter().zip(&self.best);
        both.filter_map(|(partition, best)| Some((&partition.zone, best.time?)))
    }

    /// Sums the load in the zone `own`, and the spare slots elsewhere.
    pub(super) fn balance(&self, own: &id::Zone) -> Balance {
        let mut balance = Balance::default();
        for partition in &self.partitions {
            let (slots, requests) = (f64::from(partition.slots), f64::from(partition.requests));
            if partition.zone == *own {
                balance.own_load += requests;
                balance.own_capacity += slots;
            } else {
                balance.spare_elsewhere += (slots - requests).max(0.0);
            }
        }
        balance
    }

    /// Takes the best candidate for a request of an entry in the zone `own` that should run in the zone
    /// `chosen`; `own_groups` if groups with engines in `own` count as a whole.
    pub(super) fn take_best(
        self,
        own: &id::Zone,
        chosen: &id::Zone,
        own_groups: bool,
    ) -> Option<Candidate<'a>> {
        let is_own = |partition: &Partition| {
            let mut group = self
                .partitions
                .iter()
                .filter(|p| p.group == partition.group);
            partition.zone == *own || own_groups && group.any(|p| p.zone == *own)
        };
        let mut found: Option<(u8, Candidate<'a>)> = None;
        for (partition, best) in self.partitions.iter().zip(self.best) {
            let is_own = is_own(partition);
            // A request that leaves would gain nothing at the own groups' engines in the chosen zone.
            let is_chosen = partition.zone == *chosen && (chosen == own || !is_own);
            for candidate in best.candidates.into_iter().flatten() {
                let step = match candidate.fitness {
                    Fitness::Room if is_chosen => 0,
                    Fitness::Room if is_own => 1,
                    Fitness::Full if is_chosen || is_own => 2,
                    Fitness::Room | Fitness::Full => 3,
                    Fitness::Impaired if is_chosen => 3,
                    Fitness::Impaired => 4,
                };
                let is_better = found
                    .as_ref()
                    .is_none_or(|(lowest, best)| (step, candidate.score) < (*lowest, best.score));
                if is_better {
                    found = Some((step, candidate));
                }
            }
        }
        found.map(|(_, candidate)| candidate)
    }
}
