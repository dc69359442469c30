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
const TOKENS: f64 = 200_000.0;

/// Counters of one interval under a falling popularity, rotated by `turn` experts.
fn sample(turn: usize, random: &mut ChaCha8Rng) -> Vec<i64> {
    let weight = |i: usize| 1.0 / (1.0 + ((i + turn) % SHAPE.experts) as f64).powf(0.8);
    let total: f64 = (0..SHAPE.experts).map(weight).sum();
    (0..SHAPE.counters())
        .map(|i| {
            let mean = TOKENS * weight(i % SHAPE.experts) / total;
            let noise: f64 = (0..12).map(|_| random.random::<f64>()).sum::<f64>() - 6.0;
            (mean + noise * mean.sqrt()) as i64
        })
        .collect()
}

fn add(total: &mut [i64], fresh: &[i64]) -> Vec<Option<i64>> {
    total.iter_mut().zip(fresh).for_each(|(t, f)| *t += f);
    total.iter().copied().map(Some).collect()
}

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

fn warm(turn: usize) -> (Popularity, Vec<i64>, ChaCha8Rng) {
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let mut total = vec![0; SHAPE.counters()];
    let mut popularity = Popularity::new(SHAPE);
    for _ in 0..3 {
        let counters = add(&mut total, &sample(turn, &mut random));
        popularity.observe(&counters).unwrap();
    }
    (popularity, total, random)
}

#[test]
fn still_under_noise() {
    let (mut popularity, mut total, mut random) = warm(0);
    let planner = Planner::new(SHAPE, Cost::default());
    let speeds = [Some(1.0); SHAPE.ranks];
    let map = planner.plan_from_scratch(&popularity, &speeds).unwrap();
    for _ in 0..100 {
        let counters = add(&mut total, &sample(0, &mut random));
        popularity.observe(&counters).unwrap();
        assert!(planner.plan(&map, &popularity, &speeds).unwrap().is_none());
    }
}

#[test]
fn few_moves_after_change() {
    let (popularity, ..) = warm(0);
    let (changed, _, mut random) = warm(5);
    let planner = Planner::new(SHAPE, Cost::default());
    let speeds = [Some(1.0); SHAPE.ranks];
    let map = planner.plan_from_scratch(&popularity, &speeds).unwrap();
    let fresh = planner.plan_from_scratch(&changed, &speeds).unwrap();
    let plan = planner.plan(&map, &changed, &speeds).unwrap().unwrap();
    let tokens = sample(5, &mut random);
    let (old, new, best) = (
        skew(&map, &tokens, &speeds),
        skew(&plan.map, &tokens, &speeds),
        skew(&fresh, &tokens, &speeds),
    );
    assert!(new < 1.05 * best && old > 1.3 * best, "{old} {new} {best}");
    assert!(
        plan.weights * 3 < map.weights_to_load(&fresh),
        "{}",
        plan.weights
    );
    assert_eq!(plan.weights, map.weights_to_load(&plan.map));
}

#[test]
fn same_input_same_plan() {
    let (popularity, ..) = warm(0);
    let (changed, ..) = warm(9);
    let planner = Planner::new(SHAPE, Cost::default());
    let speeds = [Some(1.0); SHAPE.ranks];
    let map = planner.plan_from_scratch(&popularity, &speeds).unwrap();
    let plan = || planner.plan(&map, &changed, &speeds).unwrap().unwrap().map;
    assert_eq!(plan(), plan());
}

#[test]
fn slow_and_lost_ranks() {
    let (popularity, _, mut random) = warm(0);
    let tokens = sample(0, &mut random);
    let planner = Planner::new(SHAPE, Cost::default());
    let even = [Some(1.0); SHAPE.ranks];
    let map = planner.plan_from_scratch(&popularity, &even).unwrap();
    for third in [Some(0.7), None] {
        let mut speeds = even;
        speeds[3] = third;
        let plan = planner.plan(&map, &popularity, &speeds).unwrap().unwrap();
        let skew = skew(&plan.map, &tokens, &speeds);
        assert!(skew < 1.08, "{third:?}: {skew}");
        for layer in 0..SHAPE.layers {
            for expert in 0..SHAPE.experts as u16 {
                let share: f32 = served(&plan.map, layer, expert, &speeds);
                assert!(
                    (share - 1.0).abs() < 1e-3,
                    "{third:?} {layer} {expert}: {share}"
                );
            }
        }
    }
}

/// Share of an expert's tokens that goes to ranks which are present.
fn served(map: &Map, layer: usize, expert: u16, speeds: &[Speed]) -> f32 {
    let slots = map.layer(layer).iter().zip(map.shares(layer)).enumerate();
    slots
        .filter(|(slot, (e, _))| **e == expert && speeds[slot / SHAPE.slots].is_some())
        .map(|(_, (_, share))| *share)
        .sum()
}
