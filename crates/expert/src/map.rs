use serde::{Deserialize, Serialize};

use crate::{Error, ErrorKind, Shape, VACANT, shape::check_size};

/// Says which expert each slot holds and which share of the expert's tokens goes there.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Map {
    /// Sizes of the group.
    pub shape: Shape,
    /// Expert of each slot: layer by layer, rank by rank, [`VACANT`] where a rank is lost.
    pub slots: Vec<u16>,
    /// Share of the expert's tokens that goes to each slot, 0 to 1.
    pub shares: Vec<f32>,
}

impl Map {
    /// Returns the slots of a layer.
    #[must_use]
    pub fn layer(&self, layer: usize) -> &[u16] {
        &self.slots[self.range(layer)]
    }

    /// Returns the shares of a layer.
    #[must_use]
    pub fn shares(&self, layer: usize) -> &[f32] {
        &self.shares[self.range(layer)]
    }

    pub(crate) fn range(&self, layer: usize) -> std::ops::Range<usize> {
        let width = self.shape.slots_per_layer();
        layer * width..(layer + 1) * width
    }

    /// Returns the number of expert weights that ranks must load to go from `self` to `next`.
    ///
    /// Weights that a rank already has may change slots for nothing.
    #[must_use]
    pub fn weights_to_load(&self, next: &Map) -> usize {
        let slots = self.shape.slots;
        let pairs = self.slots.chunks(slots).zip(next.slots.chunks(slots));
        pairs.map(|(old, new)| loads(old, new)).sum()
    }

    /// Checks sizes and experts of a map that came from outside.
    ///
    /// # Errors
    ///
    /// Returns an error if a list has another size than the shape says or a slot names no expert.
    pub fn check(&self) -> Result<(), Error> {
        let size = self.shape.layers * self.shape.slots_per_layer();
        check_size(size, self.slots.len())?;
        check_size(size, self.shares.len())?;
        let wrong = |e: &u16| *e != VACANT && usize::from(*e) >= self.shape.experts;
        match self.slots.iter().position(wrong) {
            Some(position) => Err(ErrorKind::UnknownExpert { position }.into()),
            None => Ok(()),
        }
    }
}

/// Counts the experts of `new` that a rank with `old` does not have.
fn loads(old: &[u16], new: &[u16]) -> usize {
    let missing =
        |(i, e): &(usize, &u16)| **e != VACANT && !old.contains(e) && !new[..*i].contains(e);
    new.iter().enumerate().filter(missing).count()
}
