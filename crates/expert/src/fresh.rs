use std::{cmp::Ordering, collections::BinaryHeap};

use crate::{Speed, VACANT, layer::Layer};

/// Plans one layer from nothing: replicas for the hot experts, then packing by falling load.
pub(crate) fn plan<'a>(width: usize, popularity: &'a [f64], speeds: &'a [Speed]) -> Layer<'a> {
    let free = speeds.iter().flatten().count() * width;
    let counts = replicas(popularity, free, speeds.iter().flatten().count());
    let mut items: Vec<(u16, f64)> = Vec::with_capacity(free);
    for (expert, count) in counts.iter().enumerate() {
        let load = popularity[expert] / *count as f64;
        items.extend(std::iter::repeat_n((expert as u16, load), *count));
    }
    items.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
    let slots = pack(width, &items, speeds);
    let mut layer = Layer::new(width, popularity, speeds, slots);
    layer.level();
    layer
}

/// Load of an expert's replica; the hottest comes first.
struct Hot {
    load: f64,
    expert: usize,
}

impl Ord for Hot {
    fn cmp(&self, other: &Self) -> Ordering {
        let load = self.load.total_cmp(&other.load);
        load.then(other.expert.cmp(&self.expert))
    }
}

impl PartialOrd for Hot {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Hot {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Hot {}

/// Gives each expert one replica and each further one to the expert with the hottest replicas.
fn replicas(popularity: &[f64], slots: usize, ranks: usize) -> Vec<usize> {
    let mut counts = vec![1; popularity.len()];
    let hot = |(expert, load): (usize, &f64)| Hot {
        load: *load,
        expert,
    };
    let mut heap: BinaryHeap<Hot> = popularity.iter().enumerate().map(hot).collect();
    for _ in popularity.len()..slots {
        let Some(Hot { expert, .. }) = heap.pop() else {
            break;
        };
        counts[expert] += 1;
        let load = popularity[expert] / counts[expert] as f64;
        if counts[expert] < ranks {
            heap.push(Hot { load, expert });
        }
    }
    counts
}

/// Packs replicas, hottest first, on the rank whose time stays lowest.
fn pack(width: usize, items: &[(u16, f64)], speeds: &[Speed]) -> Vec<u16> {
    let mut slots = vec![VACANT; speeds.len() * width];
    let mut loads = vec![0.0; speeds.len()];
    let mut used = vec![0; speeds.len()];
    for (expert, load) in items {
        let open = |rank: &usize| speeds[*rank].is_some() && used[*rank] < width;
        let time = |rank: usize| (loads[rank] + load) / speeds[rank].unwrap_or(1.0);
        let twice = |rank: usize| slots[rank * width..(rank + 1) * width].contains(expert);
        let best = (0..speeds.len()).filter(open).min_by(|a, b| {
            let twice = twice(*a).cmp(&twice(*b));
            twice.then(time(*a).total_cmp(&time(*b)))
        });
        let Some(rank) = best else { break };
        slots[rank * width + used[rank]] = *expert;
        used[rank] += 1;
        loads[rank] += load;
    }
    slots
}
