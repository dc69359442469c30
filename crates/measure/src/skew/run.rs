use std::time::Instant;

use expert::{Cost, Map, Planner, Popularity, Shape, Speed};
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use super::workload::{INTERVALS, Season, Workload, normal};

/// Layers with experts.
const LAYERS: usize = 58;
/// Experts of a layer.
const EXPERTS: usize = 256;
/// Steps that are sampled in an interval; the counters see these only.
pub(crate) const STEPS: usize = 20;
/// Steps of an interval: 300 s of 50 ms each.
const INTERVAL_STEPS: f64 = 6000.0;
/// Length of an interval, in seconds.
const INTERVAL_TIME: f64 = 300.0;
/// Choices of an expert that a rank's tokens make in a layer and step: 128 tokens, 8 experts each.
const CHOICES: f64 = 1024.0;
/// Bytes of one expert's weights.
const WEIGHT: f64 = 44e6;
/// Bytes a second that the weight store gives the group.
const STORE: f64 = 8e9;
/// Intervals before the course in which the first map's counters are taken.
const WARM: usize = 3;
/// Intervals by which the counters lag.
const LAG: usize = 1;

/// Way to choose the map.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Scheme {
    /// The first map stays.
    Fixed,
    /// Each interval begins with a map planned from nothing, in force at once.
    Full,
    /// The planner decides; its map is in force once its weights are loaded.
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

/// What a scheme reached in a course.
#[derive(Default)]
pub(crate) struct Result {
    /// Skew of each sampled step.
    pub(crate) skews: Vec<f64>,
    /// Weights moved.
    weights: usize,
    /// Changes of the map.
    pub(crate) switches: usize,
}

impl Result {
    pub(crate) fn quantile(&self, part: f64) -> f64 {
        let mut skews = self.skews.clone();
        skews.sort_by(f64::total_cmp);
        skews[((skews.len() - 1) as f64 * part) as usize]
    }

    pub(crate) fn bytes(&self) -> f64 {
        self.weights as f64 * WEIGHT
    }

    pub(crate) fn store_share(&self) -> f64 {
        self.bytes() / (STORE * INTERVAL_TIME * INTERVALS as f64)
    }

    pub(crate) fn steps_lost(&self) -> f64 {
        self.switches as f64 * Cost::default().switch_steps
    }
}

/// One workload at one size, with the result of each scheme.
pub(crate) struct Course {
    pub(crate) ranks: usize,
    pub(crate) workload: Workload,
    pub(crate) results: Vec<(Scheme, Result)>,
    /// Longest time of a plan, in seconds.
    pub(crate) planning: f64,
}

impl Course {
    pub(crate) fn of(&self, scheme: Scheme) -> &Result {
        let found = self.results.iter().find(|(s, _)| *s == scheme);
        &found.expect("each course runs all schemes").1
    }
}

/// State of one scheme.
struct Lane {
    scheme: Scheme,
    map: Map,
    /// Map whose weights are being loaded, and the sampled step at which it comes into force.
    next: Option<(Map, usize)>,
    result: Result,
}

/// Runs a workload.
pub(crate) fn course(ranks: usize, slots: usize, workload: Workload, seed: u64) -> Course {
    let shape = Shape {
        layers: LAYERS,
        experts: EXPERTS,
        ranks,
        slots,
    };
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ (ranks as u64) << 32 ^ workload as u64);
    let mut season = Season::new(workload, shape, &mut random);
    let mut counters = Counters::new(shape);
    for _ in 0..WARM {
        let shares = season.shares();
        for _ in 0..STEPS {
            counters.add(&step(&shares, ranks, &mut random));
        }
        counters.close();
    }
    let cost = Cost {
        horizon_steps: INTERVAL_STEPS,
        max_weights: (STORE / 2.0 * INTERVAL_TIME / WEIGHT) as usize,
        ..Cost::default()
    };
    let planner = Planner::new(shape, cost);
    let first = planner
        .plan_from_scratch(&counters.popularity, &workload.speeds(ranks, 0))
        .expect("the shape is sound");
    let mut lanes = Scheme::ALL.map(|scheme| Lane {
        scheme,
        map: first.clone(),
        next: None,
        result: Result::default(),
    });
    let mut planning: f64 = 0.0;
    let mut late = Vec::new();
    for interval in 0..INTERVALS {
        season.enter(interval, &mut random);
        let speeds = workload.speeds(ranks, interval);
        let known = known(workload, ranks, interval);
        for lane in &mut lanes {
            let start = Instant::now();
            lane.plan(&planner, &counters.popularity, &known);
            planning = planning.max(start.elapsed().as_secs_f64());
        }
        let shares = season.shares();
        for index in 0..STEPS {
            let tokens = step(&shares, ranks, &mut random);
            for lane in &mut lanes {
                lane.run(index, &tokens, &speeds);
            }
            late.push(tokens);
        }
        if interval >= LAG {
            late.drain(..STEPS).for_each(|tokens| counters.add(&tokens));
            counters.close();
        }
    }
    let results = lanes.map(|lane| (lane.scheme, lane.result)).into();
    Course {
        ranks,
        workload,
        results,
        planning,
    }
}

/// Returns the speeds that a plan knows: those of the interval before, but for lost ranks.
fn known(workload: Workload, ranks: usize, interval: usize) -> Vec<Speed> {
    let before = workload.speeds(ranks, interval.saturating_sub(LAG));
    let now = workload.speeds(ranks, interval);
    let pairs = before.into_iter().zip(now);
    pairs.map(|(old, new)| new.and(old.or(new))).collect()
}

impl Lane {
    fn plan(&mut self, planner: &Planner, popularity: &Popularity, speeds: &[Speed]) {
        let map = self.map.clone();
        match self.scheme {
            Scheme::Fixed => {
                let next = planner
                    .repair(&map, popularity, speeds)
                    .expect("a sound map");
                self.adopt(next, 0);
            }
            Scheme::Full => {
                let next = planner
                    .plan_from_scratch(popularity, speeds)
                    .expect("a sound shape");
                self.adopt(next, 0);
            }
            Scheme::Planner => {
                let repaired = planner
                    .repair(&map, popularity, speeds)
                    .expect("a sound map");
                if lost_more(&map, speeds) {
                    self.adopt(repaired, 0);
                }
                let plan = planner
                    .plan(&self.map, popularity, speeds)
                    .expect("a sound map");
                if let Some(plan) = plan {
                    let time = plan.weights as f64 * WEIGHT / STORE;
                    let at = (time / INTERVAL_TIME * STEPS as f64).ceil() as usize;
                    self.adopt(plan.map, at.min(STEPS - 1));
                }
            }
        }
    }

    fn adopt(&mut self, next: Map, at: usize) {
        if next == self.map {
            return;
        }
        self.result.weights += self.map.weights_to_load(&next);
        self.result.switches += 1;
        if at == 0 {
            self.map = next;
        } else {
            self.next = Some((next, at));
        }
    }

    fn run(&mut self, index: usize, tokens: &[f64], speeds: &[Speed]) {
        if let Some((map, _)) = self.next.take_if(|(_, at)| *at <= index) {
            self.map = map;
        }
        self.result.skews.push(skew(&self.map, tokens, speeds));
    }
}

/// Returns whether a lost rank still has experts in the map.
fn lost_more(map: &Map, speeds: &[Speed]) -> bool {
    let ranks = map.layer(0).chunks(map.shape.slots).zip(speeds);
    let held = |slots: &[u16]| slots.iter().any(|e| *e != expert::VACANT);
    ranks
        .into_iter()
        .any(|(slots, speed)| speed.is_none() && held(slots))
}

/// Returns the time of the slowest rank over the mean; each layer is a barrier.
fn skew(map: &Map, tokens: &[f64], speeds: &[Speed]) -> f64 {
    let shape = map.shape;
    let power: f64 = speeds.iter().flatten().sum();
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
        mean += tokens.iter().sum::<f64>() / power;
    }
    slowest / mean
}

/// Draws the tokens of each expert in one step.
fn step(shares: &[f64], ranks: usize, random: &mut ChaCha8Rng) -> Vec<f64> {
    let choices = CHOICES * ranks as f64;
    let draw = |share: &f64| {
        let mean = share * choices;
        (mean + mean.sqrt() * normal(random)).round().max(0.0)
    };
    shares.iter().map(draw).collect()
}

/// Cumulative counters and the estimate made from them.
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

    fn close(&mut self) {
        let counters: Vec<Option<i64>> = self.totals.iter().copied().map(Some).collect();
        self.popularity.observe(&counters).expect("sound counters");
    }
}
