use serde::{Deserialize, Serialize};

/// Exponent of the norm of the rank loads that is minimized; a higher one approaches the maximum
/// load.
const NORM_EXPONENT: i32 = 8;
/// Number of least loaded ranks that are tried as targets of a move.
const TARGET_RANKS: usize = 8;
/// Number of most loaded ranks that are tried as sources of a move.
const SOURCE_RANKS: usize = 3;

/// Experts of each rank, set by set; the layers of a set share a placement.
pub type Placement = Vec<Vec<Vec<u16>>>;

/// Limits of one change of a placement.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Limits {
    /// Number of experts of one set that a rank can hold.
    #[serde(rename = "places")]
    pub capacity: usize,
    /// Number of experts of one set that a rank may copy in one change.
    #[serde(rename = "fresh")]
    pub copies_per_set: usize,
    /// Number of experts of all sets that a rank may copy in one candidate, which limits the
    /// copying time.
    #[serde(rename = "copies")]
    pub total_copies: usize,
}

/// Change of a placement that reduces its skew.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Placement after the change.
    pub placement: Placement,
    /// Number of experts that ranks must copy for it.
    pub copies: usize,
    /// Load of the most loaded rank over the mean, averaged over the sets: before and after.
    pub skew: (f64, f64),
}

/// Planner of placements for engines that split an expert's tokens evenly over the ranks that hold
/// it.
///
/// Unlike [`crate::Planner`], it cannot choose shares: it only adds, drops and exchanges experts.
#[derive(Clone, Copy, Debug)]
pub struct Balancer {
    limits: Limits,
    /// Decrease of the mean skew, approximated by [`Set::norm`], that each copied expert must
    /// exceed.
    min_gain_per_copy: f64,
}

impl Balancer {
    /// Creates a planner; each copied expert must lower the mean skew by more than
    /// `min_gain_per_copy`.
    #[must_use]
    pub const fn new(limits: Limits, min_gain_per_copy: f64) -> Self {
        Self {
            limits,
            min_gain_per_copy,
        }
    }

    /// Returns the placement that engines start with: the experts in round-robin order.
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

    /// Returns the load of the most loaded rank over the mean, averaged over the sets; `None` without sets or
    /// without the popularity of each.
    #[must_use]
    pub fn skew(placement: &Placement, popularity: &[Vec<f64>]) -> Option<f64> {
        if placement.is_empty() || placement.len() != popularity.len() {
            return None;
        }
        let sets = placement.iter().zip(popularity);
        let sets: Vec<Set> = sets
            .map(|(ranks, popularity)| Set::new(ranks, popularity))
            .collect();
        Some(mean_skew(&sets))
    }

    /// Plans a change of the placement in force; `None` if no change lowers the skew enough for its
    /// copies.
    #[must_use]
    pub fn plan(&self, current: &Placement, popularity: &[Vec<f64>]) -> Option<Change> {
        let ranks = current.first()?.len();
        let mut sets: Vec<Set> = current
            .iter()
            .zip(popularity)
            .map(|(ranks, popularity)| Set::new(ranks, popularity))
            .collect();
        if sets.len() != current.len() || ranks < 2 {
            return None;
        }
        let before = mean_skew(&sets);
        let mut copies_by_rank = vec![0; ranks];
        let mut copies_by_set = vec![vec![0; ranks]; sets.len()];
        let min_gain = self.min_gain_per_copy * sets.len() as f64;
        // Best move of each set; the outer option is `None` where it has to be computed again.
        let mut best_moves: Vec<Option<Option<(f64, Move)>>> = vec![None; sets.len()];
        loop {
            for (index, set) in sets.iter().enumerate() {
                let allowed = |rank: usize| {
                    copies_by_rank[rank] < self.limits.total_copies
                        && copies_by_set[index][rank] < self.limits.copies_per_set
                };
                let still_allowed = best_moves[index].is_some_and(|best| {
                    best.is_none_or(|(_, candidate)| {
                        let copies = candidate.copies(&current[index]);
                        copies.iter().all(|(rank, _)| allowed(*rank))
                    })
                });
                if !still_allowed {
                    best_moves[index] =
                        Some(set.find_best_move(self.limits.capacity, &current[index], &allowed));
                }
            }
            let best = best_moves.iter().enumerate().filter_map(|(index, best)| {
                let (gain, candidate) = (*best)??;
                Some((gain, index, candidate))
            });
            let best = best.max_by(|a, b| a.0.total_cmp(&b.0));
            let Some((_, index, candidate)) = best.filter(|(gain, ..)| *gain > min_gain) else {
                break;
            };
            for (rank, _) in candidate.copies(&current[index]) {
                copies_by_rank[rank] += 1;
                copies_by_set[index][rank] += 1;
            }
            sets[index].apply(candidate);
            best_moves[index] = None;
        }
        let after = mean_skew(&sets);
        let placement: Placement = sets.into_iter().map(|set| set.ranks).collect();
        let copies = count_copies(current, &placement);
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

/// Counts the experts that ranks must copy to switch from one placement to another.
fn count_copies(from: &Placement, to: &Placement) -> usize {
    let ranks = from.iter().flatten().zip(to.iter().flatten());
    ranks
        .map(|(old, new)| new.iter().filter(|e| !old.contains(e)).count())
        .sum()
}

/// Change of one set.
#[derive(Clone, Copy, Debug)]
enum Move {
    /// Adds an expert to a rank; if the rank is full, drops one that other ranks hold too.
    Copy {
        expert: u16,
        rank: usize,
        dropped: Option<u16>,
    },
    /// Exchanges two experts that no other rank holds; each is given as rank and expert.
    Swap {
        source: (usize, u16),
        target: (usize, u16),
    },
}

impl Move {
    /// Returns the rank and expert of each addition.
    fn additions(self) -> Vec<(usize, u16)> {
        match self {
            Move::Copy { expert, rank, .. } => vec![(rank, expert)],
            Move::Swap { source, target } => vec![(source.0, target.1), (target.0, source.1)],
        }
    }

    /// Returns the rank and expert of each addition that must be copied; `current` lists the
    /// experts that each rank holds now.
    fn copies(self, current: &[Vec<u16>]) -> Vec<(usize, u16)> {
        let mut copies = self.additions();
        copies.retain(|(rank, expert)| !current[*rank].contains(expert));
        copies
    }
}

/// Placement of one set of layers, with the load of each rank relative to the mean.
#[derive(Clone, Debug)]
struct Set {
    /// Experts of each rank.
    ranks: Vec<Vec<u16>>,
    /// Load of each expert, over all its holders, relative to the mean load of a rank.
    expert_loads: Vec<f64>,
    /// Ranks that hold each expert.
    holders: Vec<Vec<usize>>,
    /// Load of each rank; the mean is 1.
    rank_loads: Vec<f64>,
}

impl Set {
    fn new(ranks: &[Vec<u16>], popularity: &[f64]) -> Self {
        let total: f64 = popularity.iter().sum::<f64>().max(f64::MIN_POSITIVE);
        let scale = ranks.len() as f64 / total;
        let mut holders = vec![Vec::new(); popularity.len()];
        for (rank, experts) in ranks.iter().enumerate() {
            for expert in experts {
                if let Some(holders) = holders.get_mut(usize::from(*expert)) {
                    holders.push(rank);
                }
            }
        }
        let mut set = Self {
            ranks: ranks.to_vec(),
            expert_loads: popularity.iter().map(|p| p * scale).collect(),
            holders,
            rank_loads: vec![0.0; ranks.len()],
        };
        for expert in 0..set.expert_loads.len() {
            let load = set.load_per_holder(expert as u16);
            for rank in set.holders[expert].clone() {
                set.rank_loads[rank] += load;
            }
        }
        set
    }

    /// Returns the load of an expert on each of its holders, relative to the mean load of a rank.
    fn load_per_holder(&self, expert: u16) -> f64 {
        let expert = usize::from(expert);
        let holders = self.holders.get(expert).map_or(1, Vec::len).max(1);
        self.expert_loads.get(expert).copied().unwrap_or(0.0) / holders as f64
    }

    /// Returns the load of the most loaded rank over the mean.
    fn skew(&self) -> f64 {
        self.rank_loads.iter().copied().fold(0.0, f64::max)
    }

    /// Returns the norm of the loads, a smooth approximation of the largest load.
    fn norm(loads: &[f64]) -> f64 {
        let sum: f64 = loads.iter().map(|load| load.powi(NORM_EXPONENT)).sum();
        sum.powf(1.0 / f64::from(NORM_EXPONENT))
    }

    /// Finds the allowed move with the largest gain for each expert that must be copied.
    ///
    /// `capacity` is the number of experts that a rank can hold, `current` lists the experts that
    /// each rank holds now, and `allowed` says whether a rank may copy another expert.
    fn find_best_move(
        &self,
        capacity: usize,
        current: &[Vec<u16>],
        allowed: &impl Fn(usize) -> bool,
    ) -> Option<(f64, Move)> {
        let mut ranks_by_load: Vec<usize> = (0..self.ranks.len()).collect();
        ranks_by_load.sort_by(|a, b| self.rank_loads[*a].total_cmp(&self.rank_loads[*b]));
        let targets: Vec<usize> = ranks_by_load.iter().copied().take(TARGET_RANKS).collect();
        let norm = Self::norm(&self.rank_loads);
        let mut best: Option<(f64, Move)> = None;
        for source in ranks_by_load.iter().rev().take(SOURCE_RANKS) {
            for target in targets.iter().filter(|target| *target != source) {
                for candidate in self.list_moves(*source, *target, capacity) {
                    let copies = candidate.copies(current);
                    if copies.iter().any(|(rank, _)| !allowed(*rank)) {
                        continue;
                    }
                    let mut loads = self.rank_loads.clone();
                    self.update_loads(candidate, &mut loads);
                    let gain = (norm - Self::norm(&loads)) / copies.len().max(1) as f64;
                    if best.as_ref().is_none_or(|(best_gain, _)| gain > *best_gain) {
                        best = Some((gain, candidate));
                    }
                }
            }
        }
        best
    }

    /// Lists the moves of experts from one rank to another.
    fn list_moves(&self, source: usize, target: usize, capacity: usize) -> Vec<Move> {
        let mut moves = Vec::new();
        let is_single = |expert: u16| self.holders[usize::from(expert)].len() == 1;
        for &expert in &self.ranks[source] {
            if self.ranks[target].contains(&expert) {
                continue;
            }
            if self.ranks[target].len() < capacity {
                moves.push(Move::Copy {
                    expert,
                    rank: target,
                    dropped: None,
                });
                continue;
            }
            for &other in &self.ranks[target] {
                if !is_single(other) {
                    moves.push(Move::Copy {
                        expert,
                        rank: target,
                        dropped: Some(other),
                    });
                } else if is_single(expert) && !self.ranks[source].contains(&other) {
                    moves.push(Move::Swap {
                        source: (source, expert),
                        target: (target, other),
                    });
                }
            }
        }
        moves
    }

    /// Updates the loads of all ranks for a move.
    fn update_loads(&self, candidate: Move, loads: &mut [f64]) {
        match candidate {
            Move::Copy {
                expert,
                rank,
                dropped,
            } => {
                let (expert_load, holders) = self.load_and_holders(expert);
                let new_load = expert_load / (holders.len() + 1) as f64;
                let old_load = expert_load / holders.len().max(1) as f64;
                holders
                    .iter()
                    .for_each(|holder| loads[*holder] += new_load - old_load);
                loads[rank] += new_load;
                if let Some(dropped) = dropped {
                    let (expert_load, holders) = self.load_and_holders(dropped);
                    let old_load = expert_load / holders.len() as f64;
                    let new_load = expert_load / (holders.len() - 1).max(1) as f64;
                    holders
                        .iter()
                        .for_each(|holder| loads[*holder] += new_load - old_load);
                    loads[rank] -= new_load;
                }
            }
            Move::Swap { source, target } => {
                let source_load = self.load_and_holders(source.1).0;
                let target_load = self.load_and_holders(target.1).0;
                loads[source.0] += target_load - source_load;
                loads[target.0] += source_load - target_load;
            }
        }
    }

    fn load_and_holders(&self, expert: u16) -> (f64, &[usize]) {
        let expert = usize::from(expert);
        (self.expert_loads[expert], &self.holders[expert])
    }

    fn apply(&mut self, candidate: Move) {
        let mut loads = std::mem::take(&mut self.rank_loads);
        self.update_loads(candidate, &mut loads);
        self.rank_loads = loads;
        match candidate {
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
            Move::Swap { source, target } => {
                self.remove(source.1, source.0);
                self.remove(target.1, target.0);
                self.add(source.1, target.0);
                self.add(target.1, source.0);
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
