use expert::{Cost, Map, Planner, Popularity, Shape, Speed, VACANT};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

const SHAPE: Shape = Shape {
    layers: 3,
    experts: 32,
    ranks: 8,
    slots: 5,
};
const SEED: u64 = 7;
/// Tokens of a layer in one interval.
const TOKENS: f64 = 200_000.0;

/// Draws the tokens of each expert in one interval, by a power law rotated by `offset` experts.
fn sample(offset: usize, random: &mut ChaCha8Rng) -> Vec<i64> {
    let weight = |i: usize| 1.0 / (1.0 + ((i + offset) % SHAPE.experts) as f64).powf(0.8);
    let total: f64 = (0..SHAPE.experts).map(weight).sum();
    (0..SHAPE.counters())
        .map(|i| {
            let mean = TOKENS * weight(i % SHAPE.experts) / total;
            let noise: f64 = (0..12).map(|_| random.random::<f64>()).sum::<f64>() - 6.0;
            (mean + noise * mean.sqrt()) as i64
        })
        .collect()
}

/// Adds the tokens of an interval to cumulative counters and returns the counters.
fn accumulate(counters: &mut [i64], tokens: &[i64]) -> Vec<Option<i64>> {
    counters
        .iter_mut()
        .zip(tokens)
        .for_each(|(counter, tokens)| *counter += tokens);
    counters.iter().copied().map(Some).collect()
}

/// Returns the time of the slowest rank over the mean time, each summed over the layers.
fn skew(map: &Map, tokens: &[i64], speeds: &[Speed]) -> f64 {
    let (mut slowest, mut mean) = (0.0, 0.0);
    for layer in 0..SHAPE.layers {
        let mut loads = [0.0; SHAPE.ranks];
        for (slot, (expert, share)) in map.layer(layer).iter().zip(map.shares(layer)).enumerate() {
            if *expert != VACANT {
                let tokens = tokens[layer * SHAPE.experts + usize::from(*expert)] as f64;
                loads[slot / SHAPE.slots] += tokens * f64::from(*share);
            }
        }
        let times = loads
            .iter()
            .zip(speeds)
            .filter_map(|(l, s)| s.map(|s| l / s));
        slowest += times.fold(0.0, f64::max);
        mean += loads.iter().sum::<f64>() / speeds.iter().flatten().sum::<f64>();
    }
    slowest / mean
}

/// Returns an estimate after three intervals, its counters, and the random generator.
fn observe_intervals(offset: usize) -> (Popularity, Vec<i64>, ChaCha8Rng) {
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let mut total = vec![0; SHAPE.counters()];
    let mut popularity = Popularity::new(SHAPE);
    for _ in 0..3 {
        let counters = accumulate(&mut total, &sample(offset, &mut random));
        popularity.observe(&counters).unwrap();
    }
    (popularity, total, random)
}

#[test]
fn sampling_noise_ignored() {
    let (mut popularity, mut total, mut random) = observe_intervals(0);
    let planner = Planner::new(SHAPE, Cost::default());
    let speeds = [Some(1.0); SHAPE.ranks];
    let map = planner.plan_from_scratch(&popularity, &speeds).unwrap();
    for _ in 0..100 {
        let counters = accumulate(&mut total, &sample(0, &mut random));
        popularity.observe(&counters).unwrap();
        assert!(planner.plan(&map, &popularity, &speeds).unwrap().is_none());
    }
}

#[test]
fn few_weights_loaded() {
    let (popularity, ..) = observe_intervals(0);
    let (changed, _, mut random) = observe_intervals(5);
    let planner = Planner::new(SHAPE, Cost::default());
    let speeds = [Some(1.0); SHAPE.ranks];
    let map = planner.plan_from_scratch(&popularity, &speeds).unwrap();
    let from_scratch = planner.plan_from_scratch(&changed, &speeds).unwrap();
    let plan = planner.plan(&map, &changed, &speeds).unwrap().unwrap();
    let tokens = sample(5, &mut random);
    let (old, new, best) = (
        skew(&map, &tokens, &speeds),
        skew(&plan.map, &tokens, &speeds),
        skew(&from_scratch, &tokens, &speeds),
    );
    assert!(new < 1.05 * best && old > 1.3 * best, "{old} {new} {best}");
    assert!(
        plan.weights * 3 < map.weights_to_load(&from_scratch),
        "{}",
        plan.weights
    );
    assert_eq!(plan.weights, map.weights_to_load(&plan.map));
}

#[test]
fn planning_is_deterministic() {
    let (popularity, ..) = observe_intervals(0);
    let (changed, ..) = observe_intervals(9);
    let planner = Planner::new(SHAPE, Cost::default());
    let speeds = [Some(1.0); SHAPE.ranks];
    let map = planner.plan_from_scratch(&popularity, &speeds).unwrap();
    let plan = || planner.plan(&map, &changed, &speeds).unwrap().unwrap().map;
    assert_eq!(plan(), plan());
}

#[test]
fn unequal_speeds_compensated() {
    let (popularity, _, mut random) = observe_intervals(0);
    let tokens = sample(0, &mut random);
    let planner = Planner::new(SHAPE, Cost::default());
    let equal_speeds = [Some(1.0); SHAPE.ranks];
    let map = planner
        .plan_from_scratch(&popularity, &equal_speeds)
        .unwrap();
    for speed in [Some(0.7), None] {
        let mut speeds = equal_speeds;
        speeds[3] = speed;
        let plan = planner.plan(&map, &popularity, &speeds).unwrap().unwrap();
        let skew = skew(&plan.map, &tokens, &speeds);
        assert!(skew < 1.08, "{speed:?}: {skew}");
        for layer in 0..SHAPE.layers {
            for expert in 0..SHAPE.experts as u16 {
                let share: f32 = served_share(&plan.map, layer, expert, &speeds);
                assert!(
                    (share - 1.0).abs() < 1e-3,
                    "{speed:?} {layer} {expert}: {share}"
                );
            }
        }
    }
}

/// Returns the share of an expert's tokens that present ranks receive.
fn served_share(map: &Map, layer: usize, expert: u16, speeds: &[Speed]) -> f32 {
    let slots = map.layer(layer).iter().zip(map.shares(layer)).enumerate();
    slots
        .filter(|(slot, (e, _))| **e == expert && speeds[slot / SHAPE.slots].is_some())
        .map(|(_, (_, share))| *share)
        .sum()
}
