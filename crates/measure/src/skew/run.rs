use std::time::Instant;

use expert::{Cost, Map, Planner, Popularity, Shape, Speed};
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use super::workload::{Distribution, INTERVALS, Workload, sample_normal};

/// Number of layers that have experts.
const LAYER_COUNT: usize = 58;

const EXPERTS_PER_LAYER: usize = 256;
/// Steps that are simulated in an interval; the counters count only these.
pub(crate) const SAMPLED_STEPS: usize = 20;
/// Steps that an interval stands for: 300 s with 50 ms per step.
const STEPS_PER_INTERVAL: f64 = 6000.0;
/// Length of an interval, in seconds.
const INTERVAL_SECONDS: f64 = 300.0;
/// Expert choices of a rank's tokens in a layer and step: 128 tokens with 8 experts each.
const CHOICES_PER_RANK: f64 = 1024.0;
/// Bytes of one expert's weights.
const EXPERT_BYTES: f64 = 44e6;
/// Bandwidth of the weight store for the group, in bytes per second.
const STORE_BYTES_PER_SECOND: f64 = 8e9;
/// Intervals before the run whose counters the first map is planned from.
const WARM_UP_INTERVALS: usize = 3;
/// Intervals from a step until the planner sees its counters.
const COUNTER_LAG: usize = 1;

/// Strategy for choosing the expert map.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Scheme {
    /// Keeps the first map, apart from repairs for lost ranks.
    Fixed,
    /// Plans a new map from scratch at the start of each interval, in force at once.
    Full,
    /// Follows the incremental planner; its map is in force once its weights are loaded.
    Planner,
}

impl Scheme {
    pub(crate) const ALL: [Self; 3] = [Self::Fixed, Self::Full, Self::Planner];

    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Fixed => "fixed",
            Self::Full => "full",
            Self::Planner => "planner",
        }
    }
}

/// Results of a scheme in a run.
#[derive(Default)]
pub(crate) struct Outcome {
    /// Skew of each simulated step.
    pub(crate) skews: Vec<f64>,
    /// Number of expert weights moved.
    moved_weights: usize,
    /// Number of map changes.
    pub(crate) switches: usize,
}

impl Outcome {
    pub(crate) fn quantile(&self, quantile: f64) -> f64 {
        let mut skews = self.skews.clone();
        skews.sort_by(f64::total_cmp);
        skews[((skews.len() - 1) as f64 * quantile) as usize]
    }

    pub(crate) fn bytes(&self) -> f64 {
        self.moved_weights as f64 * EXPERT_BYTES
    }

    /// Returns the bytes moved as a share of what the weight store can send during the run.
    pub(crate) fn store_share(&self) -> f64 {
        self.bytes() / (STORE_BYTES_PER_SECOND * INTERVAL_SECONDS * INTERVALS as f64)
    }

    /// Returns the cost of the map changes, in steps.
    pub(crate) fn switch_steps(&self) -> f64 {
        self.switches as f64 * Cost::default().switch_steps
    }
}

/// Run of one workload at one size, with the outcome of each scheme.
pub(crate) struct Run {
    pub(crate) ranks: usize,
    pub(crate) workload: Workload,
    pub(crate) outcomes: Vec<(Scheme, Outcome)>,
    /// Longest time to compute a plan, in seconds.
    pub(crate) max_planning_seconds: f64,
}

impl Run {
    pub(crate) fn outcome(&self, scheme: Scheme) -> &Outcome {
        let found = self.outcomes.iter().find(|(s, _)| *s == scheme);
        &found.expect("each run has all schemes").1
    }
}

/// State of one scheme during a run.
struct SchemeState {
    scheme: Scheme,
    map: Map,
    /// Map whose weights are loading, and the step of the interval at which it comes into force.
    pending: Option<(Map, usize)>,
    outcome: Outcome,
}

/// Simulates a workload with all schemes.
pub(crate) fn simulate(ranks: usize, slots: usize, workload: Workload, seed: u64) -> Run {
    let shape = Shape {
        layers: LAYER_COUNT,
        experts: EXPERTS_PER_LAYER,
        ranks,
        slots,
    };
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ (ranks as u64) << 32 ^ workload as u64);
    let mut distribution = Distribution::new(workload, shape, &mut random);
    let mut counters = Counters::new(shape);
    for _ in 0..WARM_UP_INTERVALS {
        let shares = distribution.shares();
        for _ in 0..SAMPLED_STEPS {
            counters.add(&sample_step(&shares, ranks, &mut random));
        }
        counters.observe();
    }
    let cost = Cost {
        horizon_steps: STEPS_PER_INTERVAL,
        max_weights: (STORE_BYTES_PER_SECOND / 2.0 * INTERVAL_SECONDS / EXPERT_BYTES) as usize,
        ..Cost::default()
    };
    let planner = Planner::new(shape, cost);
    let first = planner
        .plan_from_scratch(&counters.popularity, &workload.speeds(ranks, 0))
        .expect("the shape is valid");
    let mut states = Scheme::ALL.map(|scheme| SchemeState {
        scheme,
        map: first.clone(),
        pending: None,
        outcome: Outcome::default(),
    });
    let mut max_planning_seconds: f64 = 0.0;
    let mut uncounted = Vec::new();
    for interval in 0..INTERVALS {
        distribution.advance_to(interval, &mut random);
        let speeds = workload.speeds(ranks, interval);
        let planned_speeds = known_speeds(workload, ranks, interval);
        for state in &mut states {
            let start = Instant::now();
            state.plan(&planner, &counters.popularity, &planned_speeds);
            max_planning_seconds = max_planning_seconds.max(start.elapsed().as_secs_f64());
        }
        let shares = distribution.shares();
        for index in 0..SAMPLED_STEPS {
            let tokens = sample_step(&shares, ranks, &mut random);
            for state in &mut states {
                state.record_step(index, &tokens, &speeds);
            }
            uncounted.push(tokens);
        }
        if interval >= COUNTER_LAG {
            uncounted
                .drain(..SAMPLED_STEPS)
                .for_each(|tokens| counters.add(&tokens));
            counters.observe();
        }
    }
    let outcomes = states.map(|state| (state.scheme, state.outcome)).into();
    Run {
        ranks,
        workload,
        outcomes,
        max_planning_seconds,
    }
}

/// Returns the speeds that a plan uses: those of the previous interval, except that ranks lost or
/// restored since then are known at once.
fn known_speeds(workload: Workload, ranks: usize, interval: usize) -> Vec<Speed> {
    let before = workload.speeds(ranks, interval.saturating_sub(COUNTER_LAG));
    let now = workload.speeds(ranks, interval);
    let speeds = before.into_iter().zip(now);
    speeds.map(|(old, new)| new.and(old.or(new))).collect()
}

impl SchemeState {
    fn plan(&mut self, planner: &Planner, popularity: &Popularity, speeds: &[Speed]) {
        let map = self.map.clone();
        match self.scheme {
            Scheme::Fixed => {
                let next = planner
                    .repair(&map, popularity, speeds)
                    .expect("the map is valid");
                self.switch_to(next, 0);
            }
            Scheme::Full => {
                let next = planner
                    .plan_from_scratch(popularity, speeds)
                    .expect("the shape is valid");
                self.switch_to(next, 0);
            }
            Scheme::Planner => {
                let repaired = planner
                    .repair(&map, popularity, speeds)
                    .expect("the map is valid");
                if uses_lost_rank(&map, speeds) {
                    self.switch_to(repaired, 0);
                }
                let plan = planner
                    .plan(&self.map, popularity, speeds)
                    .expect("the map is valid");
                if let Some(plan) = plan {
                    let load_seconds = plan.weights as f64 * EXPERT_BYTES / STORE_BYTES_PER_SECOND;
                    let from_step =
                        (load_seconds / INTERVAL_SECONDS * SAMPLED_STEPS as f64).ceil() as usize;
                    self.switch_to(plan.map, from_step.min(SAMPLED_STEPS - 1));
                }
            }
        }
    }

    /// Counts a switch to a map that comes into force at a step of the interval.
    fn switch_to(&mut self, next: Map, from_step: usize) {
        if next == self.map {
            return;
        }
        self.outcome.moved_weights += self.map.weights_to_load(&next);
        self.outcome.switches += 1;
        if from_step == 0 {
            self.map = next;
        } else {
            self.pending = Some((next, from_step));
        }
    }

    fn record_step(&mut self, index: usize, tokens: &[f64], speeds: &[Speed]) {
        if let Some((map, _)) = self.pending.take_if(|(_, from_step)| *from_step <= index) {
            self.map = map;
        }
        self.outcome.skews.push(skew(&self.map, tokens, speeds));
    }
}

/// Returns whether the map still places experts on a lost rank.
fn uses_lost_rank(map: &Map, speeds: &[Speed]) -> bool {
    let ranks = map.layer(0).chunks(map.shape.slots).zip(speeds);
    let occupied = |slots: &[u16]| slots.iter().any(|e| *e != expert::VACANT);
    ranks
        .into_iter()
        .any(|(slots, speed)| speed.is_none() && occupied(slots))
}

/// Returns the ratio of the slowest rank's step time to the mean; ranks wait for each other after
/// each layer.
fn skew(map: &Map, tokens: &[f64], speeds: &[Speed]) -> f64 {
    let shape = map.shape;
    let total_speed: f64 = speeds.iter().flatten().sum();
    let (mut slowest, mut mean) = (0.0, 0.0);
    let mut loads = vec![0.0; shape.ranks];
    for layer in 0..shape.layers {
        loads.fill(0.0);
        let tokens = &tokens[layer * shape.experts..(layer + 1) * shape.experts];
        let (slots, shares) = (map.layer(layer), map.shares(layer));
        for (rank, load) in loads.iter_mut().enumerate() {
            for slot in rank * shape.slots..(rank + 1) * shape.slots {
                if let Some(tokens) = tokens.get(usize::from(slots[slot])) {
                    *load += tokens * f64::from(shares[slot]);
                }
            }
        }
        let times = loads
            .iter()
            .zip(speeds)
            .filter_map(|(l, s)| s.map(|s| l / s));
        slowest += times.fold(0.0, f64::max);
        mean += tokens.iter().sum::<f64>() / total_speed;
    }
    slowest / mean
}

/// Draws the number of tokens of each expert in one step.
fn sample_step(shares: &[f64], ranks: usize, random: &mut ChaCha8Rng) -> Vec<f64> {
    let choices = CHOICES_PER_RANK * ranks as f64;
    let draw = |share: &f64| {
        let mean = share * choices;
        (mean + mean.sqrt() * sample_normal(random))
            .round()
            .max(0.0)
    };
    shares.iter().map(draw).collect()
}

/// Cumulative token counters and the popularity that is estimated from them.
struct Counters {
    totals: Vec<i64>,
    popularity: Popularity,
}

impl Counters {
    fn new(shape: Shape) -> Self {
        Self {
            totals: vec![0; shape.counters()],
            popularity: Popularity::new(shape),
        }
    }

    fn add(&mut self, tokens: &[f64]) {
        let pairs = self.totals.iter_mut().zip(tokens);
        pairs.for_each(|(total, tokens)| *total += *tokens as i64);
    }

    /// Updates the estimate at the end of an interval.
    fn observe(&mut self) {
        let counters: Vec<Option<i64>> = self.totals.iter().copied().map(Some).collect();
        self.popularity
            .observe(&counters)
            .expect("the counters fit the shape");
    }
}
