use serde::{Deserialize, Serialize};

use crate::{Error, ErrorKind, Shape, VACANT, shape::check_length};

/// Expert map: the expert in each slot, and the share of the expert's tokens that the slot
/// receives.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Map {
    /// Sizes of the group that the map is for.
    pub shape: Shape,
    /// Expert in each slot: layer by layer, rank by rank, [`VACANT`] on lost ranks.
    pub slots: Vec<u16>,
    /// Share of its expert's tokens that each slot receives, 0 to 1, in the order of `slots`.
    pub shares: Vec<f32>,
}

impl Map {
    /// Returns the expert in each slot of a layer, rank by rank.
    #[must_use]
    pub fn layer(&self, layer: usize) -> &[u16] {
        &self.slots[self.layer_range(layer)]
    }

    /// Returns the share of each slot of a layer, 0 to 1, rank by rank.
    #[must_use]
    pub fn shares(&self, layer: usize) -> &[f32] {
        &self.shares[self.layer_range(layer)]
    }

    /// Returns the range of a layer's slots in `slots` and `shares`.
    pub(crate) fn layer_range(&self, layer: usize) -> std::ops::Range<usize> {
        let width = self.shape.slots_per_layer();
        layer * width..(layer + 1) * width
    }

    /// Returns the number of expert weights that ranks must load to switch from `self` to `next`.
    ///
    /// Moving weights between slots of the same rank needs no load.
    #[must_use]
    pub fn weights_to_load(&self, next: &Map) -> usize {
        let slots = self.shape.slots;
        let pairs = self.slots.chunks(slots).zip(next.slots.chunks(slots));
        pairs.map(|(old, new)| count_loads(old, new)).sum()
    }

    /// Checks that the lists have the sizes of the shape and that each slot names an existing
    /// expert.
    ///
    /// # Errors
    ///
    /// Returns an error if a list has another length than the shape implies or a slot names an
    /// expert that does not exist.
    pub fn check(&self) -> Result<(), Error> {
        let length = self.shape.layers * self.shape.slots_per_layer();
        check_length(length, self.slots.len())?;
        check_length(length, self.shares.len())?;
        let unknown = |e: &u16| *e != VACANT && usize::from(*e) >= self.shape.experts;
        match self.slots.iter().position(unknown) {
            Some(position) => Err(ErrorKind::UnknownExpert { position }.into()),
            None => Ok(()),
        }
    }
}

/// Counts the distinct experts in `new` that a rank holding `old` has to load.
fn count_loads(old: &[u16], new: &[u16]) -> usize {
    let to_load =
        |(i, e): &(usize, &u16)| **e != VACANT && !old.contains(e) && !new[..*i].contains(e);
    new.iter().enumerate().filter(to_load).count()
}
