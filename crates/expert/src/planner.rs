use crate::{
    Error, Map, Popularity, Shape, Speed, fresh,
    layer::Layer,
    search::{self, Outcome},
    shape::check_size,
};

/// Weights of one layer that one plan moves at most, as a share of its slots.
const REACH: f64 = 0.5;
/// Gain of a layer, in multiples of what noise shows, from which it counts.
const CERTAIN: f64 = 3.0;

/// Says what moving weights costs and how long a gain is expected to last.
#[derive(Clone, Copy, Debug)]
pub struct Cost {
    /// Steps that the group loses at a switch.
    pub switch_steps: f64,
    /// Steps' worth of time that loading one weight costs the group.
    pub weight_steps: f64,
    /// Steps for which a plan is expected to hold under popularity that is stable.
    pub horizon_steps: f64,
    /// Weights that one plan may move, by the weight store's rate.
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

/// Map that a group should go to, and why.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The map.
    pub map: Map,
    /// Weights that ranks must load for it.
    pub weights: usize,
    /// Part of a step's time that is saved, as expected.
    pub gain: f64,
}

/// Plans expert maps: pure, and the same for the same input.
#[derive(Clone, Debug)]
pub struct Planner {
    shape: Shape,
    cost: Cost,
}

impl Planner {
    /// Creates a planner.
    #[must_use]
    pub fn new(shape: Shape, cost: Cost) -> Self {
        Self { shape, cost }
    }

    /// Plans from nothing, as if no weight were loaded.
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
        let mut map = self.vacant();
        for layer in 0..self.shape.layers {
            let popularity = popularity.shares(layer);
            let planned = fresh::plan(self.shape.slots, &popularity, speeds);
            store(&mut map, layer, &planned);
        }
        Ok(map)
    }

    /// Moves the least that lets a map work at all after ranks were lost or came back.
    ///
    /// # Errors
    ///
    /// As [`Planner::plan`].
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
            let mut work = self.layer(map, layer, &popularity, speeds);
            if search::repair(&mut work) > 0 || work.slots != map.layer(layer) {
                store(&mut next, layer, &work);
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
        let base = self.repair(map, popularity, speeds)?;
        let forced = base.slots != map.slots;
        let mut options = Vec::new();
        for layer in 0..self.shape.layers {
            options.extend(self.option(&base, layer, popularity, speeds));
        }
        let (next, gain) = self.select(&base, options);
        let pays = gain * self.cost.horizon_steps > self.cost.switch_steps;
        let next = if pays { next } else { base };
        let weights = map.weights_to_load(&next);
        Ok((pays || forced).then_some(Plan {
            map: next,
            weights,
            gain,
        }))
    }

    fn check(&self, map: &Map, speeds: &[Speed]) -> Result<(), Error> {
        self.shape.check(speeds)?;
        check_size(self.shape.layers, map.shape.layers)?;
        check_size(self.shape.experts, map.shape.experts)?;
        check_size(self.shape.slots_per_layer(), map.shape.slots_per_layer())?;
        map.check()
    }

    /// Searches a better layer; `None` if noise explains the difference or it costs too much.
    fn option(
        &self,
        map: &Map,
        layer: usize,
        popularity: &Popularity,
        speeds: &[Speed],
    ) -> Option<Choice> {
        let noise = self.noise(popularity.tokens(layer), speeds);
        let shares = popularity.shares(layer);
        let mut work = self
            .layer(map, layer, &shares, speeds)
            .with_shares(map.shares(layer));
        let before = work.skew();
        // Even shares hold best when popularity turns; levelling departs from them as it must.
        (0..self.shape.experts).for_each(|expert| work.split_evenly(expert));
        let price = self.cost.weight_steps / self.cost.horizon_steps * self.shape.layers as f64;
        let limit = (self.shape.slots_per_layer() as f64 * REACH).ceil() as usize;
        // What noise may explain is not worth a weight, neither as a gain nor as what is left to gain.
        let target = 1.0 + CERTAIN * noise;
        let found = search::improve(&mut work, target, price, limit);
        let gain = before - found.skew - price * found.weights as f64;
        (gain > CERTAIN * noise).then(|| Choice {
            layer,
            found,
            gain,
            slots: work.slots.clone(),
            shares: work.shares(),
        })
    }

    /// Takes the layers with the largest gain for each weight, as far as the budget goes.
    fn select(&self, base: &Map, mut options: Vec<Choice>) -> (Map, f64) {
        options.sort_by(|a, b| b.rate().total_cmp(&a.rate()).then(a.layer.cmp(&b.layer)));
        let mut map = base.clone();
        let (mut left, mut gain) = (self.cost.max_weights, 0.0);
        for option in options {
            if option.found.weights > left {
                continue;
            }
            left -= option.found.weights;
            gain += option.gain / self.shape.layers as f64;
            let range = map.range(option.layer);
            map.slots[range.clone()].copy_from_slice(&option.slots);
            map.shares[range].copy_from_slice(&option.shares);
        }
        (map, gain)
    }

    /// Returns the excess skew that sampling noise alone shows at the slowest rank.
    fn noise(&self, tokens: f64, speeds: &[Speed]) -> f64 {
        let ranks = speeds.iter().flatten().count() as f64;
        let on_rank = (tokens / ranks).max(1.0);
        (2.0 * ranks.ln()).max(1.0).sqrt() / on_rank.sqrt()
    }

    fn vacant(&self) -> Map {
        let size = self.shape.layers * self.shape.slots_per_layer();
        Map {
            shape: self.shape,
            slots: vec![crate::VACANT; size],
            shares: vec![0.0; size],
        }
    }

    fn layer<'a>(
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
struct Choice {
    layer: usize,
    found: Outcome,
    gain: f64,
    slots: Vec<u16>,
    shares: Vec<f32>,
}

impl Choice {
    fn rate(&self) -> f64 {
        self.gain / (self.found.weights as f64 + 0.5)
    }
}

fn store(map: &mut Map, layer: usize, work: &Layer<'_>) {
    let range = map.range(layer);
    map.slots[range.clone()].copy_from_slice(&work.slots);
    map.shares[range].copy_from_slice(&work.shares());
}
