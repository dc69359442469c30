use crate::{Speed, VACANT};

/// Limit of the rounds in which rank times are equalized.
const MAX_ROUNDS: usize = 24;
/// Fraction of the correction that is applied to an expert in one round, 0 to 1; below 1, so that
/// many experts share the correction.
const DAMPING: f64 = 0.5;
/// Largest change of a slot's load in a round, relative to the mean rank time, at which equalizing
/// ends.
const CONVERGED_CHANGE: f64 = 1e-4;

/// Expert placement of one layer, with the load of each slot and rank.
///
/// Loads are shares of the layer's tokens, in sum 1; times are loads divided by speeds.
#[derive(Clone, Debug)]
pub(crate) struct Layer<'a> {
    /// Number of slots of a rank.
    pub(crate) slots_per_rank: usize,
    /// Share of the layer's tokens that each expert receives, in sum 1.
    pub(crate) popularity: &'a [f64],
    pub(crate) speeds: &'a [Speed],
    /// Expert in each slot, rank by rank.
    pub(crate) slots: Vec<u16>,
    pub(crate) slot_loads: Vec<f64>,
    pub(crate) rank_loads: Vec<f64>,
    /// Slots that hold each expert.
    pub(crate) replicas: Vec<Vec<usize>>,
}

impl<'a> Layer<'a> {
    /// Creates a layer that splits the load of each expert evenly over its slots.
    pub(crate) fn new(
        slots_per_rank: usize,
        popularity: &'a [f64],
        speeds: &'a [Speed],
        slots: Vec<u16>,
    ) -> Self {
        let mut layer = Self {
            slots_per_rank,
            popularity,
            speeds,
            slot_loads: vec![0.0; slots.len()],
            rank_loads: vec![0.0; speeds.len()],
            replicas: Vec::new(),
            slots,
        };
        layer.index_replicas();
        for expert in 0..popularity.len() {
            layer.split_evenly(expert);
        }
        layer
    }

    /// Sets the loads from the share of its expert that each slot receives, 0 to 1.
    pub(crate) fn with_shares(mut self, shares: &[f32]) -> Self {
        self.rank_loads.fill(0.0);
        for (slot, expert) in self.slots.iter().enumerate() {
            let load = match self.popularity.get(usize::from(*expert)) {
                Some(popularity) => popularity * f64::from(shares[slot]),
                None => 0.0,
            };
            self.slot_loads[slot] = load;
            self.rank_loads[slot / self.slots_per_rank] += load;
        }
        self
    }

    fn index_replicas(&mut self) {
        self.replicas = vec![Vec::new(); self.popularity.len()];
        for (slot, expert) in self.slots.iter().enumerate() {
            if let Some(replicas) = self.replicas.get_mut(usize::from(*expert)) {
                replicas.push(slot);
            }
        }
    }

    pub(crate) fn split_evenly(&mut self, expert: usize) {
        let replicas = self.replicas[expert].clone();
        let load = self.popularity[expert] / replicas.len().max(1) as f64;
        for slot in replicas {
            self.set_load(slot, load);
        }
    }

    pub(crate) fn set_load(&mut self, slot: usize, load: f64) {
        self.rank_loads[slot / self.slots_per_rank] += load - self.slot_loads[slot];
        self.slot_loads[slot] = load;
    }

    /// Replaces the expert in a slot and sets the slot's load to 0.
    pub(crate) fn assign(&mut self, slot: usize, expert: u16) {
        self.set_load(slot, 0.0);
        if let Some(replicas) = self.replicas.get_mut(usize::from(self.slots[slot])) {
            replicas.retain(|s| *s != slot);
        }
        self.slots[slot] = expert;
        if let Some(replicas) = self.replicas.get_mut(usize::from(expert)) {
            replicas.push(slot);
        }
    }

    pub(crate) fn holds(&self, rank: usize, expert: u16) -> bool {
        self.slots[rank * self.slots_per_rank..(rank + 1) * self.slots_per_rank].contains(&expert)
    }

    /// Returns the time of a rank, 0 if it is lost.
    pub(crate) fn rank_time(&self, rank: usize) -> f64 {
        self.speeds[rank].map_or(0.0, |speed| self.rank_loads[rank] / speed)
    }

    /// Returns the time of the slowest rank over the mean time.
    pub(crate) fn skew(&self) -> f64 {
        let slowest = (0..self.rank_loads.len())
            .map(|r| self.rank_time(r))
            .fold(0.0, f64::max);
        slowest / self.mean_time()
    }

    /// Returns the time of every rank if the load were split in proportion to the speeds.
    pub(crate) fn mean_time(&self) -> f64 {
        1.0 / self.speeds.iter().flatten().sum::<f64>()
    }

    /// Returns the ranks that are not lost.
    pub(crate) fn present_ranks(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.speeds.len()).filter(|r| self.speeds[*r].is_some())
    }

    /// Equalizes the rank times by shifting load between replicas, which loads no weights.
    pub(crate) fn equalize(&mut self) {
        self.equalize_rounds(MAX_ROUNDS);
    }

    /// As [`Layer::equalize`], with another limit of rounds.
    pub(crate) fn equalize_rounds(&mut self, max_rounds: usize) {
        let converged = CONVERGED_CHANGE * self.mean_time();
        for _ in 0..max_rounds {
            let mut change: f64 = 0.0;
            for expert in 0..self.replicas.len() {
                if self.replicas[expert].len() > 1 {
                    change = change.max(self.spread_damped(expert, DAMPING));
                }
            }
            if change < converged {
                return;
            }
        }
    }

    /// Spreads the load of one expert over its replicas so that their ranks' times become equal.
    ///
    /// Returns the largest change of a slot's load.
    pub(crate) fn spread(&mut self, expert: usize) -> f64 {
        self.spread_damped(expert, 1.0)
    }

    /// Applies a fraction of the change that [`Layer::spread`] would make, computed by
    /// water-filling.
    fn spread_damped(&mut self, expert: usize, fraction: f64) -> f64 {
        let mut replicas = std::mem::take(&mut self.replicas[expert]);
        let time_without = |layer: &Self, slot: usize| {
            let rank = slot / layer.slots_per_rank;
            let speed = layer.speeds[rank].unwrap_or(f64::MIN_POSITIVE);
            (
                (layer.rank_loads[rank] - layer.slot_loads[slot]) / speed,
                speed,
            )
        };
        replicas.sort_by(|a, b| {
            time_without(self, *a)
                .0
                .total_cmp(&time_without(self, *b).0)
        });
        let (mut total_load, mut total_speed, mut target_time) =
            (self.popularity[expert], 0.0, 0.0);
        for slot in &replicas {
            let (base_time, speed) = time_without(self, *slot);
            if total_speed > 0.0 && total_load / total_speed <= base_time {
                break;
            }
            total_load += base_time * speed;
            total_speed += speed;
            target_time = total_load / total_speed;
        }
        let mut change: f64 = 0.0;
        for slot in &replicas {
            let (base_time, speed) = time_without(self, *slot);
            let target_load = ((target_time - base_time) * speed).max(0.0);
            let load = self.slot_loads[*slot] + fraction * (target_load - self.slot_loads[*slot]);
            change = change.max((load - self.slot_loads[*slot]).abs());
            self.set_load(*slot, load);
        }
        self.replicas[expert] = replicas;
        change
    }

    /// Returns the share of its expert's tokens that each slot receives, 0 to 1.
    pub(crate) fn shares(&self) -> Vec<f32> {
        let share = |(expert, load): (&u16, &f64)| match self.popularity.get(usize::from(*expert)) {
            Some(popularity) if *popularity > 0.0 => (load / popularity) as f32,
            _ => 0.0,
        };
        self.slots.iter().zip(&self.slot_loads).map(share).collect()
    }

    pub(crate) fn vacate_lost_ranks(&mut self) {
        for rank in 0..self.speeds.len() {
            if self.speeds[rank].is_none() {
                (rank * self.slots_per_rank..(rank + 1) * self.slots_per_rank)
                    .for_each(|slot| self.assign(slot, VACANT));
            }
        }
    }
}
