use serde::{Deserialize, Serialize};

/// Exponent of the load in what is minimised; a high one makes the most loaded rank count most.
const POWER: i32 = 8;
/// Coldest ranks that are tried as partners of the hottest.
const PARTNERS: usize = 8;
/// Hottest ranks that are tried one after the other.
const SOURCES: usize = 3;

/// Experts by set of layers and rank.
pub type Placement = Vec<Vec<Vec<u16>>>;

/// Bounds on what one change of a placement may do.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Limits {
    /// Experts of one set that a rank can hold.
    #[serde(rename = "places")]
    pub capacity: usize,
    /// Experts of one set that a rank may take on in one change.
    #[serde(rename = "fresh")]
    pub copies_per_set: usize,
    /// Experts that a rank may take on over all sets in one change, which bounds the copying time.
    #[serde(rename = "copies")]
    pub total_copies: usize,
}

/// Change of a placement that evens the ranks out.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The placement after it.
    pub placement: Placement,
    /// Experts that ranks must copy for it.
    pub copies: usize,
    /// Load of the most loaded rank over the mean, averaged over the sets: before and after.
    pub skew: (f64, f64),
}

/// Plans placements for engines that share the tokens of an expert evenly over the ranks that hold it.
///
/// Unlike [`crate::Planner`], which also chooses shares, it can only add, drop and exchange experts.
#[derive(Clone, Copy, Debug)]
pub struct Balancer {
    limits: Limits,
    /// Skew that one copied expert must save at least.
    price: f64,
}

impl Balancer {
    /// Creates a planner.
    #[must_use]
    pub const fn new(limits: Limits, price: f64) -> Self {
        Self { limits, price }
    }

    /// Returns the placement that engines start with: experts in turn.
    #[must_use]
    pub fn initial(sets: usize, experts: usize, ranks: usize) -> Placement {
        let rank = |r: usize| {
            (r..experts)
                .step_by(ranks.max(1))
                .map(|e| e as u16)
                .collect()
        };
        vec![(0..ranks).map(rank).collect(); sets]
    }

    /// Returns the load of the most loaded rank over the mean, averaged over the sets.
    #[must_use]
    pub fn skew(placement: &Placement, popularity: &[Vec<f64>]) -> f64 {
        let sets = placement.iter().zip(popularity);
        let sum: f64 = sets
            .map(|(ranks, weights)| Set::new(ranks, weights).skew())
            .sum();
        sum / placement.len().max(1) as f64
    }

    /// Plans a change from a placement in force; `None` if no change is worth its copies.
    #[must_use]
    pub fn plan(&self, current: &Placement, popularity: &[Vec<f64>]) -> Option<Change> {
        let ranks = current.first()?.len();
        let mut sets: Vec<Set> = current
            .iter()
            .zip(popularity)
            .map(|(ranks, weights)| Set::new(ranks, weights))
            .collect();
        if sets.len() != current.len() || ranks < 2 {
            return None;
        }
        let before = mean_skew(&sets);
        let mut used = vec![0; ranks];
        let mut fresh = vec![vec![0; ranks]; sets.len()];
        let price = self.price * sets.len() as f64;
        let mut found: Vec<Option<Option<(f64, Move)>>> = vec![None; sets.len()];
        loop {
            for (index, set) in sets.iter().enumerate() {
                let allowed = |rank: usize| {
                    used[rank] < self.limits.total_copies
                        && fresh[index][rank] < self.limits.copies_per_set
                };
                let stands = found[index].is_some_and(|best| {
                    best.is_none_or(|(_, next)| {
                        let copied = next.copied(&current[index]);
                        copied.iter().all(|(rank, _)| allowed(*rank))
                    })
                });
                if !stands {
                    found[index] = Some(set.best(self.limits.capacity, &current[index], &allowed));
                }
            }
            let best = found.iter().enumerate().filter_map(|(index, best)| {
                let (gain, next) = (*best)??;
                Some((gain, index, next))
            });
            let best = best.max_by(|a, b| a.0.total_cmp(&b.0));
            let Some((_, index, next)) = best.filter(|(gain, ..)| *gain > price) else {
                break;
            };
            for (rank, _) in next.copied(&current[index]) {
                used[rank] += 1;
                fresh[index][rank] += 1;
            }
            sets[index].apply(next);
            found[index] = None;
        }
        let after = mean_skew(&sets);
        let placement: Placement = sets.into_iter().map(|set| set.ranks).collect();
        let copies = copies(current, &placement);
        (copies > 0 && after < before).then_some(Change {
            placement,
            copies,
            skew: (before, after),
        })
    }
}

fn mean_skew(sets: &[Set]) -> f64 {
    sets.iter().map(Set::skew).sum::<f64>() / sets.len().max(1) as f64
}

/// Counts the experts that ranks must copy to go from one placement to another.
fn copies(from: &Placement, to: &Placement) -> usize {
    let ranks = from.iter().flatten().zip(to.iter().flatten());
    ranks
        .map(|(old, new)| new.iter().filter(|e| !old.contains(e)).count())
        .sum()
}

/// Change of one set.
#[derive(Clone, Copy, Debug)]
enum Move {
    /// Adds an expert to a rank, in place of one that other ranks hold too if the rank is full.
    Copy {
        expert: u16,
        rank: usize,
        dropped: Option<u16>,
    },
    /// Exchanges two experts that no other rank holds.
    Swap {
        hot: (usize, u16),
        cold: (usize, u16),
    },
}

impl Move {
    fn added(self) -> Vec<(usize, u16)> {
        match self {
            Move::Copy { expert, rank, .. } => vec![(rank, expert)],
            Move::Swap { hot, cold } => vec![(hot.0, cold.1), (cold.0, hot.1)],
        }
    }

    /// Returns the experts that ranks must copy for it, given what they hold now.
    fn copied(self, current: &[Vec<u16>]) -> Vec<(usize, u16)> {
        let mut added = self.added();
        added.retain(|(rank, expert)| !current[*rank].contains(expert));
        added
    }
}

/// One set of layers with the load of each rank; loads are shares of a perfect split, so that 1 is the mean.
#[derive(Clone, Debug)]
struct Set {
    ranks: Vec<Vec<u16>>,
    weights: Vec<f64>,
    holders: Vec<Vec<usize>>,
    loads: Vec<f64>,
}

impl Set {
    fn new(ranks: &[Vec<u16>], weights: &[f64]) -> Self {
        let total: f64 = weights.iter().sum::<f64>().max(f64::MIN_POSITIVE);
        let scale = ranks.len() as f64 / total;
        let mut holders = vec![Vec::new(); weights.len()];
        for (rank, experts) in ranks.iter().enumerate() {
            for expert in experts {
                if let Some(holders) = holders.get_mut(usize::from(*expert)) {
                    holders.push(rank);
                }
            }
        }
        let mut set = Self {
            ranks: ranks.to_vec(),
            weights: weights.iter().map(|w| w * scale).collect(),
            holders,
            loads: vec![0.0; ranks.len()],
        };
        for expert in 0..set.weights.len() {
            let share = set.share(expert as u16);
            for rank in set.holders[expert].clone() {
                set.loads[rank] += share;
            }
        }
        set
    }

    /// Returns what each holder of an expert carries of it.
    fn share(&self, expert: u16) -> f64 {
        let expert = usize::from(expert);
        let holders = self.holders.get(expert).map_or(1, Vec::len).max(1);
        self.weights.get(expert).copied().unwrap_or(0.0) / holders as f64
    }

    fn skew(&self) -> f64 {
        self.loads.iter().copied().fold(0.0, f64::max)
    }

    /// Returns a smooth stand-in for the load of the most loaded rank.
    fn cost(loads: &[f64]) -> f64 {
        let sum: f64 = loads.iter().map(|load| load.powi(POWER)).sum();
        sum.powf(1.0 / f64::from(POWER))
    }

    /// Finds the move with the largest gain for each expert that must be copied.
    fn best(
        &self,
        places: usize,
        current: &[Vec<u16>],
        allowed: &impl Fn(usize) -> bool,
    ) -> Option<(f64, Move)> {
        let mut order: Vec<usize> = (0..self.ranks.len()).collect();
        order.sort_by(|a, b| self.loads[*a].total_cmp(&self.loads[*b]));
        let partners: Vec<usize> = order.iter().copied().take(PARTNERS).collect();
        let cost = Self::cost(&self.loads);
        let mut best: Option<(f64, Move)> = None;
        for hot in order.iter().rev().take(SOURCES) {
            for cold in partners.iter().filter(|cold| *cold != hot) {
                for next in self.moves(*hot, *cold, places) {
                    let fresh = next.copied(current);
                    if fresh.iter().any(|(rank, _)| !allowed(*rank)) {
                        continue;
                    }
                    let mut loads = self.loads.clone();
                    self.shift(next, &mut loads);
                    let gain = (cost - Self::cost(&loads)) / fresh.len().max(1) as f64;
                    if best.as_ref().is_none_or(|(most, _)| gain > *most) {
                        best = Some((gain, next));
                    }
                }
            }
        }
        best
    }

    fn moves(&self, hot: usize, cold: usize, places: usize) -> Vec<Move> {
        let mut moves = Vec::new();
        let single = |expert: u16| self.holders[usize::from(expert)].len() == 1;
        for &expert in &self.ranks[hot] {
            if self.ranks[cold].contains(&expert) {
                continue;
            }
            if self.ranks[cold].len() < places {
                moves.push(Move::Copy {
                    expert,
                    rank: cold,
                    dropped: None,
                });
                continue;
            }
            for &other in &self.ranks[cold] {
                if !single(other) {
                    moves.push(Move::Copy {
                        expert,
                        rank: cold,
                        dropped: Some(other),
                    });
                } else if single(expert) && !self.ranks[hot].contains(&other) {
                    moves.push(Move::Swap {
                        hot: (hot, expert),
                        cold: (cold, other),
                    });
                }
            }
        }
        moves
    }

    /// Changes loads as a move does.
    fn shift(&self, next: Move, loads: &mut [f64]) {
        match next {
            Move::Copy {
                expert,
                rank,
                dropped,
            } => {
                let (weight, holders) = self.weight(expert);
                let share = weight / (holders.len() + 1) as f64;
                let old = weight / holders.len().max(1) as f64;
                holders
                    .iter()
                    .for_each(|holder| loads[*holder] += share - old);
                loads[rank] += share;
                if let Some(dropped) = dropped {
                    let (weight, holders) = self.weight(dropped);
                    let old = weight / holders.len() as f64;
                    let share = weight / (holders.len() - 1).max(1) as f64;
                    holders
                        .iter()
                        .for_each(|holder| loads[*holder] += share - old);
                    loads[rank] -= share;
                }
            }
            Move::Swap { hot, cold } => {
                let (heavy, light) = (self.weight(hot.1).0, self.weight(cold.1).0);
                loads[hot.0] += light - heavy;
                loads[cold.0] += heavy - light;
            }
        }
    }

    fn weight(&self, expert: u16) -> (f64, &[usize]) {
        let expert = usize::from(expert);
        (self.weights[expert], &self.holders[expert])
    }

    fn apply(&mut self, next: Move) {
        let mut loads = std::mem::take(&mut self.loads);
        self.shift(next, &mut loads);
        self.loads = loads;
        match next {
            Move::Copy {
                expert,
                rank,
                dropped,
            } => {
                if let Some(dropped) = dropped {
                    self.remove(dropped, rank);
                }
                self.add(expert, rank);
            }
            Move::Swap { hot, cold } => {
                self.remove(hot.1, hot.0);
                self.remove(cold.1, cold.0);
                self.add(hot.1, cold.0);
                self.add(cold.1, hot.0);
            }
        }
    }

    fn add(&mut self, expert: u16, rank: usize) {
        self.ranks[rank].push(expert);
        self.holders[usize::from(expert)].push(rank);
    }

    fn remove(&mut self, expert: u16, rank: usize) {
        self.ranks[rank].retain(|e| *e != expert);
        self.holders[usize::from(expert)].retain(|r| *r != rank);
    }
}
