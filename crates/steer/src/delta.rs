use expert::{Balancer, Placement};
use serde::{Deserialize, Serialize};

use crate::{engine::Version, worker::digest};

/// Placement as its differences from an earlier one, which the receiver knows.
///
/// The placement of a large group is some kilobytes long, and the leader sends it to every rank.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Delta {
    /// Version of the earlier placement; 0 is the one that a new group starts with.
    pub base: Version,
    /// Number of experts of each set.
    experts: usize,
    /// Number of sets.
    sets: usize,
    /// Number of ranks.
    ranks: usize,
    /// Set, rank and experts of each rank that differs.
    changes: Vec<(u16, u16, Vec<u16>)>,
    /// Digest of the whole placement.
    digest: u64,
}

impl Delta {
    /// Returns the differences of `next` from `current`, which has version `base`; `None` if they have
    /// other shapes.
    #[must_use]
    pub fn between(base: Version, current: &Placement, next: &Placement) -> Option<Self> {
        let ranks = current.first()?.len();
        let has_shape = |placement: &Placement| {
            placement.len() == current.len() && placement.iter().all(|set| set.len() == ranks)
        };
        if !has_shape(current) || !has_shape(next) {
            return None;
        }
        let highest = next.iter().flatten().flatten().max()?;
        let mut changes = Vec::new();
        for (set, (old, new)) in current.iter().zip(next).enumerate() {
            for (rank, (old, new)) in old.iter().zip(new).enumerate() {
                if sorted(old) != sorted(new) {
                    let (set, rank) = (u16::try_from(set).ok()?, u16::try_from(rank).ok()?);
                    changes.push((set, rank, sorted(new)));
                }
            }
        }
        Some(Self {
            base,
            experts: usize::from(*highest) + 1,
            sets: current.len(),
            ranks,
            changes,
            digest: digest(next.iter().flatten()),
        })
    }

    /// Returns the placement that a group of this shape starts with, which has version 0.
    #[must_use]
    pub fn initial(&self) -> Placement {
        Balancer::initial(self.sets, self.experts, self.ranks)
    }

    /// Returns the whole placement; `None` if `base` is not the one that the differences are from.
    #[must_use]
    pub fn apply(&self, base: &Placement) -> Option<Placement> {
        let mut placement = normalized(base);
        for (set, rank, experts) in &self.changes {
            let held = placement
                .get_mut(usize::from(*set))?
                .get_mut(usize::from(*rank))?;
            held.clone_from(experts);
        }
        (digest(placement.iter().flatten()) == self.digest).then_some(placement)
    }
}

/// Returns a placement with the experts of each rank in ascending order, so that all ranks are told the
/// same.
#[must_use]
pub fn normalized(placement: &Placement) -> Placement {
    let set = |ranks: &Vec<Vec<u16>>| ranks.iter().map(|experts| sorted(experts)).collect();
    placement.iter().map(set).collect()
}

fn sorted(experts: &[u16]) -> Vec<u16> {
    let mut sorted = experts.to_vec();
    sorted.sort_unstable();
    sorted
}
