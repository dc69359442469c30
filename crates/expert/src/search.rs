use crate::{VACANT, layer::Layer};

/// Coldest ranks that are tried as partners of the hottest.
const PARTNERS: usize = 6;
/// Hottest ranks that are tried one after the other.
const SOURCES: usize = 6;
/// Rounds of levelling after each move.
const ROUNDS: usize = 6;

/// Change of a layer that brings the hottest rank down.
#[derive(Clone, Copy, Debug)]
enum Move {
    /// Loads a replica of an expert in place of a spare replica of another.
    Copy { expert: u16, slot: usize },
    /// Exchanges the experts of two slots.
    Swap { hot: usize, cold: usize },
}

impl Move {
    const fn weights(self) -> usize {
        match self {
            Move::Copy { .. } => 1,
            Move::Swap { .. } => 2,
        }
    }
}

/// Gives every expert a slot on a present rank, and vacant slots an expert.
///
/// Returns the weights that must be loaded.
pub(crate) fn repair(layer: &mut Layer<'_>) -> usize {
    layer.vacate();
    let orphans: Vec<u16> = (0..layer.places.len())
        .filter(|expert| layer.places[*expert].is_empty())
        .map(|expert| expert as u16)
        .collect();
    let mut weights = 0;
    for expert in orphans {
        if let Some(slot) = coldest_slot(layer) {
            replace(layer, slot, expert);
            weights += 1;
        }
    }
    let vacant: Vec<usize> = (0..layer.slots.len())
        .filter(|s| layer.slots[*s] == VACANT && layer.speeds[s / layer.width].is_some())
        .collect();
    for slot in vacant {
        if let Some(expert) = hottest_missing(layer, slot / layer.width) {
            replace(layer, slot, expert);
            weights += 1;
        }
    }
    for expert in 0..layer.places.len() {
        layer.pour(expert);
    }
    weights
}

/// Finds a vacant slot, or the spare replica with the least load, on a present rank.
fn coldest_slot(layer: &Layer<'_>) -> Option<usize> {
    let open = |slot: &usize| {
        let expert = usize::from(layer.slots[*slot]);
        let spare = layer.places.get(expert).is_none_or(|p| p.len() > 1);
        spare && layer.speeds[slot / layer.width].is_some()
    };
    let cost = |slot: usize| {
        let load = layer.loads[slot];
        (layer.slots[slot] != VACANT, load)
    };
    (0..layer.slots.len()).filter(open).min_by(|a, b| {
        let (a, b) = (cost(*a), cost(*b));
        a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
    })
}

/// Finds the expert with the hottest replicas that a rank does not hold.
fn hottest_missing(layer: &Layer<'_>, rank: usize) -> Option<u16> {
    let load = |expert: u16| {
        let expert = usize::from(expert);
        layer.popularity[expert] / layer.places[expert].len().max(1) as f64
    };
    (0..layer.popularity.len() as u16)
        .filter(|expert| !layer.holds(rank, *expert))
        .max_by(|a, b| load(*a).total_cmp(&load(*b)))
}

/// Puts another expert into a slot and levels the two experts concerned.
fn replace(layer: &mut Layer<'_>, slot: usize, expert: u16) {
    let old = layer.slots[slot];
    layer.put(slot, expert);
    for expert in [old, expert] {
        if layer
            .places
            .get(usize::from(expert))
            .is_some_and(|p| !p.is_empty())
        {
            layer.pour(usize::from(expert));
        }
    }
}

/// Result of a search: how far the skew came down with how many weights.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Outcome {
    /// Weights to load.
    pub(crate) weights: usize,
    /// Skew that is reached.
    pub(crate) skew: f64,
}

/// Improves a layer by local moves until its skew is at most `target` or no move helps.
///
/// Each weight must bring the skew down by `price` at least, over the whole of the moves made.
pub(crate) fn improve(layer: &mut Layer<'_>, target: f64, price: f64, limit: usize) -> Outcome {
    layer.level();
    let mut best = Outcome {
        weights: 0,
        skew: layer.skew(),
    };
    let mut kept = layer.clone();
    let mut weights = 0;
    while weights < limit && layer.skew() > target {
        let Some(next) = choose(layer) else { break };
        weights += next.weights();
        apply(layer, next);
        layer.level_rounds(ROUNDS);
        let skew = layer.skew();
        let value = |weights: usize, skew: f64| skew + price * weights as f64;
        if value(weights, skew) < value(best.weights, best.skew) {
            best = Outcome { weights, skew };
            kept = layer.clone();
        }
    }
    *layer = kept;
    layer.level();
    best.skew = layer.skew();
    best
}

/// Chooses the move from the hottest rank to a cold one that lowers the sum of squares most for
/// each weight; if the hottest has none, the next hottest is tried.
fn choose(layer: &Layer<'_>) -> Option<Move> {
    let mut ranks: Vec<usize> = layer.present().collect();
    ranks.sort_by(|a, b| layer.time(*a).total_cmp(&layer.time(*b)));
    let partners = PARTNERS.min(ranks.len().saturating_sub(1));
    let sources = ranks.iter().rev().take(SOURCES);
    let mut found = sources.map(|hot| best_move(layer, *hot, &ranks[..partners]));
    found.find_map(|best| best)
}

fn best_move(layer: &Layer<'_>, hot: usize, partners: &[usize]) -> Option<Move> {
    let mut best: Option<(f64, Move)> = None;
    for cold in partners.iter().filter(|cold| **cold != hot) {
        for (gain, next) in moves(layer, hot, *cold) {
            let gain = gain / next.weights() as f64;
            if gain > best.map_or(f64::EPSILON, |b| b.0) {
                best = Some((gain, next));
            }
        }
    }
    best.map(|(_, next)| next)
}

/// Lists the moves between two ranks with what each takes off the sum of squares.
fn moves(layer: &Layer<'_>, hot: usize, cold: usize) -> Vec<(f64, Move)> {
    let mut moves = Vec::new();
    let slots = |rank: usize| rank * layer.width..(rank + 1) * layer.width;
    for from in slots(hot) {
        let expert = layer.slots[from];
        if layer.loads[from] <= 0.0 || layer.holds(cold, expert) {
            continue;
        }
        for to in slots(cold) {
            let other = layer.slots[to];
            if let Some(gain) = copy_gain(layer, from, to) {
                moves.push((gain, Move::Copy { expert, slot: to }));
            }
            let single = |e: u16| layer.places[usize::from(e)].len() == 1;
            if single(expert) && single(other) && !layer.holds(hot, other) {
                let (heavy, light) = (layer.loads[from], layer.loads[to]);
                let gain = shift_gain(layer, hot, cold, heavy - light);
                moves.push((
                    gain,
                    Move::Swap {
                        hot: from,
                        cold: to,
                    },
                ));
            }
        }
    }
    moves
}

/// Returns what shifting load between two ranks takes off the sum of squares.
fn shift_gain(layer: &Layer<'_>, from: usize, to: usize, load: f64) -> f64 {
    let (Some(s), Some(t)) = (layer.speeds[from], layer.speeds[to]) else {
        return 0.0;
    };
    let (a, b) = (layer.ranks[from], layer.ranks[to]);
    (a * a - (a - load).powi(2)) / s + (b * b - (b + load).powi(2)) / t
}

/// Returns the gain of a replica in a slot whose expert has other replicas, `None` if it has none.
fn copy_gain(layer: &Layer<'_>, from: usize, to: usize) -> Option<f64> {
    let (hot, cold) = (from / layer.width, to / layer.width);
    let other = layer.places.get(usize::from(layer.slots[to]))?;
    let receivers: Vec<usize> = other.iter().copied().filter(|s| *s != to).collect();
    if receivers.is_empty() {
        return None;
    }
    let displaced = layer.loads[to] / receivers.len() as f64;
    let mut gain = 0.0;
    for slot in &receivers {
        gain += shift_gain(layer, cold, slot / layer.width, displaced);
    }
    let (s, t) = (layer.speeds[hot]?, layer.speeds[cold]?);
    let cold_load = layer.ranks[cold] - layer.loads[to];
    let gap = layer.time(hot) - cold_load / t;
    let load = (gap / (1.0 / s + 1.0 / t)).clamp(0.0, layer.loads[from]);
    let a = layer.ranks[hot];
    gain += (a * a - (a - load).powi(2)) / s;
    gain += (cold_load * cold_load - (cold_load + load).powi(2)) / t;
    Some(gain)
}

fn apply(layer: &mut Layer<'_>, next: Move) {
    match next {
        Move::Copy { expert, slot } => replace(layer, slot, expert),
        Move::Swap { hot, cold } => {
            let (expert, other) = (layer.slots[hot], layer.slots[cold]);
            layer.put(hot, other);
            layer.put(cold, expert);
            layer.pour(usize::from(expert));
            layer.pour(usize::from(other));
        }
    }
}
