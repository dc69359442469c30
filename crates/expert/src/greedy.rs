use std::{cmp::Ordering, collections::BinaryHeap};

use crate::{Speed, VACANT, layer::Layer};

/// Plans one layer without regard to loaded weights: replicates popular experts, then packs
/// replicas by decreasing load.
pub(crate) fn plan<'a>(
    slots_per_rank: usize,
    popularity: &'a [f64],
    speeds: &'a [Speed],
) -> Layer<'a> {
    let slot_count = speeds.iter().flatten().count() * slots_per_rank;
    let counts = replica_counts(popularity, slot_count, speeds.iter().flatten().count());
    let mut replicas: Vec<(u16, f64)> = Vec::with_capacity(slot_count);
    for (expert, count) in counts.iter().enumerate() {
        let load = popularity[expert] / *count as f64;
        replicas.extend(std::iter::repeat_n((expert as u16, load), *count));
    }
    replicas.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
    let slots = pack(slots_per_rank, &replicas, speeds);
    let mut layer = Layer::new(slots_per_rank, popularity, speeds, slots);
    layer.equalize();
    layer
}

/// Expert by the load of each of its replicas.
///
/// The greatest has the highest load and, among equals, the lowest index.
struct ReplicaLoad {
    load: f64,
    expert: usize,
}

impl Ord for ReplicaLoad {
    fn cmp(&self, other: &Self) -> Ordering {
        let load = self.load.total_cmp(&other.load);
        load.then(other.expert.cmp(&self.expert))
    }
}

impl PartialOrd for ReplicaLoad {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for ReplicaLoad {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for ReplicaLoad {}

/// Gives each expert one replica, and each further slot to the expert with the most loaded
/// replicas.
///
/// An expert gets at most one replica for each rank.
fn replica_counts(popularity: &[f64], slots: usize, ranks: usize) -> Vec<usize> {
    let mut counts = vec![1; popularity.len()];
    let replica_load = |(expert, load): (usize, &f64)| ReplicaLoad {
        load: *load,
        expert,
    };
    let mut heap: BinaryHeap<ReplicaLoad> =
        popularity.iter().enumerate().map(replica_load).collect();
    for _ in popularity.len()..slots {
        let Some(ReplicaLoad { expert, .. }) = heap.pop() else {
            break;
        };
        counts[expert] += 1;
        let load = popularity[expert] / counts[expert] as f64;
        if counts[expert] < ranks {
            heap.push(ReplicaLoad { load, expert });
        }
    }
    counts
}

/// Places replicas in the given order, each on the rank that finishes first with it.
///
/// Ranks that already hold the expert come last.
fn pack(slots_per_rank: usize, replicas: &[(u16, f64)], speeds: &[Speed]) -> Vec<u16> {
    let mut slots = vec![VACANT; speeds.len() * slots_per_rank];
    let mut loads = vec![0.0; speeds.len()];
    let mut used_slots = vec![0; speeds.len()];
    for (expert, load) in replicas {
        let has_free_slot =
            |rank: &usize| speeds[*rank].is_some() && used_slots[*rank] < slots_per_rank;
        let time = |rank: usize| (loads[rank] + load) / speeds[rank].unwrap_or(1.0);
        let holds = |rank: usize| {
            slots[rank * slots_per_rank..(rank + 1) * slots_per_rank].contains(expert)
        };
        let best_rank = (0..speeds.len()).filter(has_free_slot).min_by(|a, b| {
            let duplicate = holds(*a).cmp(&holds(*b));
            duplicate.then(time(*a).total_cmp(&time(*b)))
        });
        let Some(rank) = best_rank else { break };
        slots[rank * slots_per_rank + used_slots[rank]] = *expert;
        used_slots[rank] += 1;
        loads[rank] += load;
    }
    slots
}
