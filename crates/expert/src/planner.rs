use crate::{
    Error, Map, Popularity, Shape, Speed, greedy,
    layer::Layer,
    search::{self, Improvement},
    shape::check_length,
};

/// Limit of the weights that one plan loads for a layer, as a share of the layer's slots, 0 to 1.
const MAX_LOADED_SHARE: f64 = 0.5;
/// Factor by which the gain of a layer must exceed the skew that sampling noise alone causes.
const MIN_GAIN_TO_NOISE: f64 = 3.0;

/// Cost of a switch, and how long its gain is expected to last.
#[derive(Clone, Copy, Debug)]
pub struct Cost {
    /// Time that a switch costs the group, in steps.
    pub switch_steps: f64,
    /// Time that loading the weights of one expert costs the group, in steps.
    pub weight_steps: f64,
    /// Time for which a plan is expected to remain good while popularity is stable, in steps.
    pub horizon_steps: f64,
    /// Limit of the expert weights that one plan loads, set by the throughput of the weight store.
    pub max_weights: usize,
}

impl Default for Cost {
    fn default() -> Self {
        Self {
            switch_steps: 4.0,
            weight_steps: 0.02,
            horizon_steps: 6000.0,
            max_weights: 4096,
        }
    }
}

/// Map that a group should switch to, with its cost and gain.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Map to switch to.
    pub map: Map,
    /// Number of expert weights that ranks must load for it.
    pub weights: usize,
    /// Expected time saved in each step, less the cost of loading, as a fraction of a balanced
    /// step.
    pub gain: f64,
}

/// Planner of expert maps; the same input gives the same plan.
#[derive(Clone, Debug)]
pub struct Planner {
    shape: Shape,
    cost: Cost,
}

impl Planner {
    /// Creates a planner of maps of a shape.
    #[must_use]
    pub fn new(shape: Shape, cost: Cost) -> Self {
        Self { shape, cost }
    }

    /// Plans a map without regard to the weights that ranks have loaded.
    ///
    /// # Errors
    ///
    /// Returns an error if a speed is not above zero or there are fewer slots than experts.
    pub fn plan_from_scratch(
        &self,
        popularity: &Popularity,
        speeds: &[Speed],
    ) -> Result<Map, Error> {
        self.shape.check(speeds)?;
        let mut map = self.vacant_map();
        for layer in 0..self.shape.layers {
            let popularity = popularity.shares(layer);
            let planned = greedy::plan(self.shape.slots, &popularity, speeds);
            write_layer(&mut map, layer, &planned);
        }
        Ok(map)
    }

    /// Plans the smallest change that gives each expert a present rank and fills the slots of ranks
    /// that came back.
    ///
    /// # Errors
    ///
    /// Returns an error under the same conditions as [`Planner::plan`].
    pub fn repair(
        &self,
        map: &Map,
        popularity: &Popularity,
        speeds: &[Speed],
    ) -> Result<Map, Error> {
        self.check(map, speeds)?;
        let mut next = map.clone();
        for layer in 0..self.shape.layers {
            let popularity = popularity.shares(layer);
            let mut layer_state = self.evenly_split_layer(map, layer, &popularity, speeds);
            if search::repair(&mut layer_state) > 0 || layer_state.slots != map.layer(layer) {
                write_layer(&mut next, layer, &layer_state);
            }
        }
        Ok(next)
    }

    /// Plans a better map, or returns `None` if none is worth its cost.
    ///
    /// # Errors
    ///
    /// Returns an error if a speed is not above zero, the map has another shape, or there are fewer
    /// slots than experts; the map in force then stays.
    pub fn plan(
        &self,
        map: &Map,
        popularity: &Popularity,
        speeds: &[Speed],
    ) -> Result<Option<Plan>, Error> {
        self.check(map, speeds)?;
        let repaired_map = self.repair(map, popularity, speeds)?;
        let is_repaired = repaired_map.slots != map.slots;
        let mut candidates = Vec::new();
        for layer in 0..self.shape.layers {
            candidates.extend(self.improve_layer(&repaired_map, layer, popularity, speeds));
        }
        let (next, gain) = self.select_within_budget(&repaired_map, candidates);
        let pays = gain * self.cost.horizon_steps > self.cost.switch_steps;
        let next = if pays { next } else { repaired_map };
        let weights = map.weights_to_load(&next);
        Ok((pays || is_repaired).then_some(Plan {
            map: next,
            weights,
            gain,
        }))
    }

    fn check(&self, map: &Map, speeds: &[Speed]) -> Result<(), Error> {
        self.shape.check(speeds)?;
        check_length(self.shape.layers, map.shape.layers)?;
        check_length(self.shape.experts, map.shape.experts)?;
        check_length(self.shape.slots_per_layer(), map.shape.slots_per_layer())?;
        map.check()
    }

    /// Searches a better placement of a layer; `None` if its gain, less its cost, may be sampling
    /// noise.
    fn improve_layer(
        &self,
        map: &Map,
        layer: usize,
        popularity: &Popularity,
        speeds: &[Speed],
    ) -> Option<Candidate> {
        let noise = self.noise(popularity.tokens(layer), speeds);
        let shares = popularity.shares(layer);
        let mut layer_state = self
            .evenly_split_layer(map, layer, &shares, speeds)
            .with_shares(map.shares(layer));
        let before = layer_state.skew();
        // Even shares are the most robust to a change of popularity, so the search starts from them
        // and deviates only as far as equalizing the rank times requires.
        (0..self.shape.experts).for_each(|expert| layer_state.split_evenly(expert));
        let skew_per_weight =
            self.cost.weight_steps / self.cost.horizon_steps * self.shape.layers as f64;
        let max_weights = (self.shape.slots_per_layer() as f64 * MAX_LOADED_SHARE).ceil() as usize;
        // Skew that noise may explain is not worth loading weights: the search stops there, and a
        // smaller gain is rejected.
        let target_skew = 1.0 + MIN_GAIN_TO_NOISE * noise;
        let improvement =
            search::improve(&mut layer_state, target_skew, skew_per_weight, max_weights);
        let gain = before - improvement.skew - skew_per_weight * improvement.weights as f64;
        (gain > MIN_GAIN_TO_NOISE * noise).then(|| Candidate {
            layer,
            improvement,
            gain,
            slots: layer_state.slots.clone(),
            shares: layer_state.shares(),
        })
    }

    /// Applies candidates to a map in order of their gain for each weight, up to the limit of weights.
    ///
    /// Returns the new map and its gain.
    fn select_within_budget(&self, current: &Map, mut candidates: Vec<Candidate>) -> (Map, f64) {
        candidates.sort_by(|a, b| {
            b.gain_per_weight()
                .total_cmp(&a.gain_per_weight())
                .then(a.layer.cmp(&b.layer))
        });
        let mut map = current.clone();
        let (mut weights_left, mut gain) = (self.cost.max_weights, 0.0);
        for candidate in candidates {
            if candidate.improvement.weights > weights_left {
                continue;
            }
            weights_left -= candidate.improvement.weights;
            gain += candidate.gain / self.shape.layers as f64;
            let range = map.layer_range(candidate.layer);
            map.slots[range.clone()].copy_from_slice(&candidate.slots);
            map.shares[range].copy_from_slice(&candidate.shares);
        }
        (map, gain)
    }

    /// Returns the excess of the skew over 1 that sampling noise alone causes at the slowest rank.
    fn noise(&self, tokens: f64, speeds: &[Speed]) -> f64 {
        let ranks = speeds.iter().flatten().count() as f64;
        let tokens_per_rank = (tokens / ranks).max(1.0);
        (2.0 * ranks.ln()).max(1.0).sqrt() / tokens_per_rank.sqrt()
    }

    fn vacant_map(&self) -> Map {
        let size = self.shape.layers * self.shape.slots_per_layer();
        Map {
            shape: self.shape,
            slots: vec![crate::VACANT; size],
            shares: vec![0.0; size],
        }
    }

    fn evenly_split_layer<'a>(
        &self,
        map: &Map,
        layer: usize,
        popularity: &'a [f64],
        speeds: &'a [Speed],
    ) -> Layer<'a> {
        let slots = map.layer(layer).to_vec();
        Layer::new(self.shape.slots, popularity, speeds, slots)
    }
}

/// Better placement of one layer.
struct Candidate {
    layer: usize,
    improvement: Improvement,
    gain: f64,
    slots: Vec<u16>,
    shares: Vec<f32>,
}

impl Candidate {
    /// Returns the gain for each weight; the addend keeps it finite for candidates that load none.
    fn gain_per_weight(&self) -> f64 {
        self.gain / (self.improvement.weights as f64 + 0.5)
    }
}

fn write_layer(map: &mut Map, layer: usize, layer_state: &Layer<'_>) {
    let range = map.layer_range(layer);
    map.slots[range.clone()].copy_from_slice(&layer_state.slots);
    map.shares[range].copy_from_slice(&layer_state.shares());
}
