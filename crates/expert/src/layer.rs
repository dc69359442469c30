use crate::{Speed, VACANT};

/// Rounds of levelling shares between replicas.
const ROUNDS: usize = 24;
/// Part of the way to its level that an expert's load goes in one round, so that many share the work.
const DAMPING: f64 = 0.5;
/// Change of a rank's time, relative to the mean, below which levelling ends.
const LEVEL: f64 = 1e-4;

/// Expert placement of one layer, with the load of each slot and rank.
#[derive(Clone, Debug)]
pub(crate) struct Layer<'a> {
    /// Slots of a rank.
    pub(crate) width: usize,
    /// Popularity of each expert, in sum 1.
    pub(crate) popularity: &'a [f64],
    /// Speed of each rank.
    pub(crate) speeds: &'a [Speed],
    /// Expert of each slot.
    pub(crate) slots: Vec<u16>,
    /// Load of each slot.
    pub(crate) loads: Vec<f64>,
    /// Load of each rank.
    pub(crate) ranks: Vec<f64>,
    /// Slots of each expert.
    pub(crate) places: Vec<Vec<usize>>,
}

impl<'a> Layer<'a> {
    /// Creates a layer that splits each expert evenly over its slots.
    pub(crate) fn new(
        width: usize,
        popularity: &'a [f64],
        speeds: &'a [Speed],
        slots: Vec<u16>,
    ) -> Self {
        let mut layer = Self {
            width,
            popularity,
            speeds,
            loads: vec![0.0; slots.len()],
            ranks: vec![0.0; speeds.len()],
            places: Vec::new(),
            slots,
        };
        layer.index();
        for expert in 0..popularity.len() {
            layer.split_evenly(expert);
        }
        layer
    }

    /// Creates a layer whose loads follow given shares.
    pub(crate) fn with_shares(mut self, shares: &[f32]) -> Self {
        self.ranks.fill(0.0);
        for (slot, expert) in self.slots.iter().enumerate() {
            let load = match self.popularity.get(usize::from(*expert)) {
                Some(popularity) => popularity * f64::from(shares[slot]),
                None => 0.0,
            };
            self.loads[slot] = load;
            self.ranks[slot / self.width] += load;
        }
        self
    }

    fn index(&mut self) {
        self.places = vec![Vec::new(); self.popularity.len()];
        for (slot, expert) in self.slots.iter().enumerate() {
            if let Some(places) = self.places.get_mut(usize::from(*expert)) {
                places.push(slot);
            }
        }
    }

    pub(crate) fn split_evenly(&mut self, expert: usize) {
        let places = self.places[expert].clone();
        let load = self.popularity[expert] / places.len().max(1) as f64;
        for slot in places {
            self.set_load(slot, load);
        }
    }

    pub(crate) fn set_load(&mut self, slot: usize, load: f64) {
        self.ranks[slot / self.width] += load - self.loads[slot];
        self.loads[slot] = load;
    }

    /// Puts an expert into a slot, without load.
    pub(crate) fn put(&mut self, slot: usize, expert: u16) {
        self.set_load(slot, 0.0);
        if let Some(places) = self.places.get_mut(usize::from(self.slots[slot])) {
            places.retain(|s| *s != slot);
        }
        self.slots[slot] = expert;
        if let Some(places) = self.places.get_mut(usize::from(expert)) {
            places.push(slot);
        }
    }

    /// Returns whether a rank holds an expert.
    pub(crate) fn holds(&self, rank: usize, expert: u16) -> bool {
        self.slots[rank * self.width..(rank + 1) * self.width].contains(&expert)
    }

    /// Returns the time of a rank, 0 if it is lost.
    pub(crate) fn time(&self, rank: usize) -> f64 {
        self.speeds[rank].map_or(0.0, |speed| self.ranks[rank] / speed)
    }

    /// Returns the time of the slowest rank over that of a perfect split.
    pub(crate) fn skew(&self) -> f64 {
        let slowest = (0..self.ranks.len())
            .map(|r| self.time(r))
            .fold(0.0, f64::max);
        slowest / self.mean()
    }

    /// Returns the time of a perfect split.
    pub(crate) fn mean(&self) -> f64 {
        1.0 / self.speeds.iter().flatten().sum::<f64>()
    }

    /// Returns the ranks that are present.
    pub(crate) fn present(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.speeds.len()).filter(|r| self.speeds[*r].is_some())
    }

    /// Levels the times of the ranks by shifting load between replicas, which moves no weights.
    pub(crate) fn level(&mut self) {
        self.level_rounds(ROUNDS);
    }

    pub(crate) fn level_rounds(&mut self, rounds: usize) {
        let bound = LEVEL * self.mean();
        for _ in 0..rounds {
            let mut change: f64 = 0.0;
            for expert in 0..self.places.len() {
                if self.places[expert].len() > 1 {
                    change = change.max(self.pour_part(expert, DAMPING));
                }
            }
            if change < bound {
                return;
            }
        }
    }

    /// Pours the load of one expert over its replicas until their ranks' times are level.
    ///
    /// Returns the largest change of a slot's load.
    pub(crate) fn pour(&mut self, expert: usize) -> f64 {
        self.pour_part(expert, 1.0)
    }

    fn pour_part(&mut self, expert: usize, part: f64) -> f64 {
        let mut places = std::mem::take(&mut self.places[expert]);
        let base = |layer: &Self, slot: usize| {
            let rank = slot / layer.width;
            let speed = layer.speeds[rank].unwrap_or(f64::MIN_POSITIVE);
            ((layer.ranks[rank] - layer.loads[slot]) / speed, speed)
        };
        places.sort_by(|a, b| base(self, *a).0.total_cmp(&base(self, *b).0));
        let (mut volume, mut speed, mut level) = (self.popularity[expert], 0.0, 0.0);
        for slot in &places {
            let (height, own) = base(self, *slot);
            if speed > 0.0 && volume / speed <= height {
                break;
            }
            volume += height * own;
            speed += own;
            level = volume / speed;
        }
        let mut change: f64 = 0.0;
        for slot in &places {
            let (height, own) = base(self, *slot);
            let full = ((level - height) * own).max(0.0);
            let load = self.loads[*slot] + part * (full - self.loads[*slot]);
            change = change.max((load - self.loads[*slot]).abs());
            self.set_load(*slot, load);
        }
        self.places[expert] = places;
        change
    }

    /// Returns the share of its expert that each slot takes.
    pub(crate) fn shares(&self) -> Vec<f32> {
        let share = |(expert, load): (&u16, &f64)| match self.popularity.get(usize::from(*expert)) {
            Some(popularity) if *popularity > 0.0 => (load / popularity) as f32,
            _ => 0.0,
        };
        self.slots.iter().zip(&self.loads).map(share).collect()
    }

    /// Empties the slots of lost ranks.
    pub(crate) fn vacate(&mut self) {
        for rank in 0..self.speeds.len() {
            if self.speeds[rank].is_none() {
                (rank * self.width..(rank + 1) * self.width)
                    .for_each(|slot| self.put(slot, VACANT));
            }
        }
    }
}
