use serde::{Deserialize, Serialize};

use crate::{Error, ErrorKind};

/// Sizes of a group whose ranks step together.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Shape {
    /// Number of layers with experts.
    pub layers: usize,
    /// Number of experts in a layer.
    pub experts: usize,
    /// Number of ranks.
    pub ranks: usize,
    /// Number of expert slots of a rank in a layer.
    pub slots: usize,
}

impl From<&conf::Group> for Shape {
    fn from(group: &conf::Group) -> Self {
        Self {
            layers: group.layers.into(),
            experts: group.experts.into(),
            ranks: group.ranks.into(),
            slots: group.slots.into(),
        }
    }
}

impl Shape {
    /// Returns the number of token counters: one for each expert of each layer.
    #[must_use]
    pub fn counters(&self) -> usize {
        self.layers * self.experts
    }

    /// Returns the number of slots in a layer, summed over all ranks.
    #[must_use]
    pub fn slots_per_layer(&self) -> usize {
        self.ranks * self.slots
    }

    /// Checks the sizes, the speeds of the ranks, and that the present ranks can hold all experts.
    pub(crate) fn check(&self, speeds: &[Speed]) -> Result<(), Error> {
        if self.counters() == 0
            || self.slots_per_layer() == 0
            || self.experts >= usize::from(VACANT)
        {
            return Err(ErrorKind::InvalidShape.into());
        }
        check_length(self.ranks, speeds.len())?;
        let invalid = |speed: &Speed| speed.is_some_and(|s| !s.is_finite() || s <= 0.0);
        if let Some(rank) = speeds.iter().position(invalid) {
            let rank = rank.try_into().unwrap_or_default();
            return Err(ErrorKind::InvalidSpeed { rank }.into());
        }
        let slots = speeds.iter().flatten().count() * self.slots;
        if slots < self.experts {
            let experts = self.experts;
            return Err(ErrorKind::TooFewSlots { slots, experts }.into());
        }
        Ok(())
    }
}

/// Speed of a rank relative to the other ranks, above 0; `None` while the rank is lost.
pub type Speed = Option<f64>;

/// Value of a slot that holds no expert.
pub const VACANT: u16 = u16::MAX;

pub(crate) fn check_length(expected: usize, found: usize) -> Result<(), Error> {
    if expected == found {
        return Ok(());
    }
    Err(ErrorKind::Length { expected, found }.into())
}
