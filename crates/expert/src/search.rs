use crate::{VACANT, layer::Layer};

/// Number of ranks with the lowest times that are tried as targets of a move.
const TARGET_RANKS: usize = 6;
/// Number of ranks with the highest times that are tried as sources of a move, one after the other.
const SOURCE_RANKS: usize = 6;
/// Limit of the rounds in which rank times are equalized after each move.
const MAX_ROUNDS_PER_MOVE: usize = 6;

/// Change of a layer that takes load off a rank.
#[derive(Clone, Copy, Debug)]
enum Move {
    /// Loads a replica of an expert into a slot whose expert has other replicas.
    Copy { expert: u16, slot: usize },
    /// Exchanges the experts of two slots.
    Swap { source: usize, target: usize },
}

impl Move {
    /// Returns the number of weights to load.
    const fn weights(self) -> usize {
        match self {
            Move::Copy { .. } => 1,
            Move::Swap { .. } => 2,
        }
    }
}

/// Gives every expert a slot on a present rank, and every vacant slot of a present rank an expert.
///
/// Returns the number of weights to load.
pub(crate) fn repair(layer: &mut Layer<'_>) -> usize {
    layer.vacate_lost_ranks();
    let unplaced: Vec<u16> = (0..layer.replicas.len())
        .filter(|expert| layer.replicas[*expert].is_empty())
        .map(|expert| expert as u16)
        .collect();
    let mut weights = 0;
    for expert in unplaced {
        if let Some(slot) = replaceable_slot(layer) {
            replace(layer, slot, expert);
            weights += 1;
        }
    }
    let vacant: Vec<usize> = (0..layer.slots.len())
        .filter(|s| layer.slots[*s] == VACANT && layer.speeds[s / layer.slots_per_rank].is_some())
        .collect();
    for slot in vacant {
        if let Some(expert) = most_loaded_missing_expert(layer, slot / layer.slots_per_rank) {
            replace(layer, slot, expert);
            weights += 1;
        }
    }
    for expert in 0..layer.replicas.len() {
        layer.spread(expert);
    }
    weights
}

/// Finds a vacant slot on a present rank, or else the least loaded one whose expert has other
/// replicas.
fn replaceable_slot(layer: &Layer<'_>) -> Option<usize> {
    let replaceable = |slot: &usize| {
        let expert = usize::from(layer.slots[*slot]);
        let redundant = layer
            .replicas
            .get(expert)
            .is_none_or(|slots| slots.len() > 1);
        redundant && layer.speeds[slot / layer.slots_per_rank].is_some()
    };
    let cost = |slot: usize| {
        let load = layer.slot_loads[slot];
        (layer.slots[slot] != VACANT, load)
    };
    (0..layer.slots.len()).filter(replaceable).min_by(|a, b| {
        let (a, b) = (cost(*a), cost(*b));
        a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
    })
}

/// Finds the expert with the most loaded replicas among those that a rank does not hold.
fn most_loaded_missing_expert(layer: &Layer<'_>, rank: usize) -> Option<u16> {
    let load = |expert: u16| {
        let expert = usize::from(expert);
        layer.popularity[expert] / layer.replicas[expert].len().max(1) as f64
    };
    (0..layer.popularity.len() as u16)
        .filter(|expert| !layer.holds(rank, *expert))
        .max_by(|a, b| load(*a).total_cmp(&load(*b)))
}

/// Replaces the expert in a slot and spreads the loads of the old and the new expert.
fn replace(layer: &mut Layer<'_>, slot: usize, expert: u16) {
    let old = layer.slots[slot];
    layer.assign(slot, expert);
    for expert in [old, expert] {
        if layer
            .replicas
            .get(usize::from(expert))
            .is_some_and(|slots| !slots.is_empty())
        {
            layer.spread(usize::from(expert));
        }
    }
}

/// Result of a search.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Improvement {
    /// Number of weights to load.
    pub(crate) weights: usize,
    /// Time of the slowest rank over the mean time.
    pub(crate) skew: f64,
}

/// Improves a layer by local search until its skew is at most `target_skew`, no move helps or
/// `max_weights` weights are to be loaded.
///
/// Keeps the state with the lowest sum of the skew and `skew_per_weight` for each weight to load,
/// so that the moves save at least `skew_per_weight` for each weight on average.
pub(crate) fn improve(
    layer: &mut Layer<'_>,
    target_skew: f64,
    skew_per_weight: f64,
    max_weights: usize,
) -> Improvement {
    layer.equalize();
    let mut best = Improvement {
        weights: 0,
        skew: layer.skew(),
    };
    let mut best_layer = layer.clone();
    let mut weights = 0;
    while weights < max_weights && layer.skew() > target_skew {
        let Some(best_move) = choose_move(layer) else {
            break;
        };
        weights += best_move.weights();
        apply(layer, best_move);
        layer.equalize_rounds(MAX_ROUNDS_PER_MOVE);
        let skew = layer.skew();
        let cost = |weights: usize, skew: f64| skew + skew_per_weight * weights as f64;
        if cost(weights, skew) < cost(best.weights, best.skew) {
            best = Improvement { weights, skew };
            best_layer = layer.clone();
        }
    }
    *layer = best_layer;
    layer.equalize();
    best.skew = layer.skew();
    best
}

/// Chooses the move from the slowest rank to a fast one with the largest gain for each weight.
///
/// The gain is what the move takes off the sum of squared rank loads over speeds. If no move from
/// the slowest rank has a gain, the next slowest is tried.
fn choose_move(layer: &Layer<'_>) -> Option<Move> {
    let mut ranks: Vec<usize> = layer.present_ranks().collect();
    ranks.sort_by(|a, b| layer.rank_time(*a).total_cmp(&layer.rank_time(*b)));
    let targets = TARGET_RANKS.min(ranks.len().saturating_sub(1));
    let sources = ranks.iter().rev().take(SOURCE_RANKS);
    let mut moves = sources.map(|source| find_best_move(layer, *source, &ranks[..targets]));
    moves.find_map(|best| best)
}

fn find_best_move(layer: &Layer<'_>, source: usize, targets: &[usize]) -> Option<Move> {
    let mut best: Option<(f64, Move)> = None;
    for target in targets.iter().filter(|target| **target != source) {
        for (gain, candidate) in list_moves(layer, source, *target) {
            let gain = gain / candidate.weights() as f64;
            if gain > best.map_or(f64::EPSILON, |b| b.0) {
                best = Some((gain, candidate));
            }
        }
    }
    best.map(|(_, candidate)| candidate)
}

/// Lists the moves between two ranks with their gains, not yet divided by their weights.
fn list_moves(layer: &Layer<'_>, source: usize, target: usize) -> Vec<(f64, Move)> {
    let mut moves = Vec::new();
    let slots = |rank: usize| rank * layer.slots_per_rank..(rank + 1) * layer.slots_per_rank;
    for from in slots(source) {
        let expert = layer.slots[from];
        if layer.slot_loads[from] <= 0.0 || layer.holds(target, expert) {
            continue;
        }
        for to in slots(target) {
            let other = layer.slots[to];
            if let Some(gain) = copy_gain(layer, from, to) {
                moves.push((gain, Move::Copy { expert, slot: to }));
            }
            let is_single = |e: u16| layer.replicas[usize::from(e)].len() == 1;
            if is_single(expert) && is_single(other) && !layer.holds(source, other) {
                let (source_load, target_load) = (layer.slot_loads[from], layer.slot_loads[to]);
                let gain = shift_gain(layer, source, target, source_load - target_load);
                moves.push((
                    gain,
                    Move::Swap {
                        source: from,
                        target: to,
                    },
                ));
            }
        }
    }
    moves
}

/// Returns what shifting this load from one rank to another takes off the sum of squared rank loads over
/// speeds.
fn shift_gain(layer: &Layer<'_>, from: usize, to: usize, load: f64) -> f64 {
    let (Some(from_speed), Some(to_speed)) = (layer.speeds[from], layer.speeds[to]) else {
        return 0.0;
    };
    let (from_load, to_load) = (layer.rank_loads[from], layer.rank_loads[to]);
    (from_load * from_load - (from_load - load).powi(2)) / from_speed
        + (to_load * to_load - (to_load + load).powi(2)) / to_speed
}

/// Returns the gain of copying the expert in slot `from` to slot `to`, whose expert's load moves to
/// its other replicas; `None` if it has no other replica.
fn copy_gain(layer: &Layer<'_>, from: usize, to: usize) -> Option<f64> {
    let (source, target) = (from / layer.slots_per_rank, to / layer.slots_per_rank);
    let replaced = layer.replicas.get(usize::from(layer.slots[to]))?;
    let receivers: Vec<usize> = replaced.iter().copied().filter(|s| *s != to).collect();
    if receivers.is_empty() {
        return None;
    }
    let displaced = layer.slot_loads[to] / receivers.len() as f64;
    let mut gain = 0.0;
    for slot in &receivers {
        gain += shift_gain(layer, target, slot / layer.slots_per_rank, displaced);
    }
    let (source_speed, target_speed) = (layer.speeds[source]?, layer.speeds[target]?);
    let target_load = layer.rank_loads[target] - layer.slot_loads[to];
    let time_gap = layer.rank_time(source) - target_load / target_speed;
    let load =
        (time_gap / (1.0 / source_speed + 1.0 / target_speed)).clamp(0.0, layer.slot_loads[from]);
    let source_load = layer.rank_loads[source];
    gain += (source_load * source_load - (source_load - load).powi(2)) / source_speed;
    gain += (target_load * target_load - (target_load + load).powi(2)) / target_speed;
    Some(gain)
}

fn apply(layer: &mut Layer<'_>, chosen: Move) {
    match chosen {
        Move::Copy { expert, slot } => replace(layer, slot, expert),
        Move::Swap { source, target } => {
            let (expert, other) = (layer.slots[source], layer.slots[target]);
            layer.assign(source, other);
            layer.assign(target, expert);
            layer.spread(usize::from(expert));
            layer.spread(usize::from(other));
        }
    }
}
