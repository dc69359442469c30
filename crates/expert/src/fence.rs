use conf::{Number, id};
use serde::{Deserialize, Serialize};

/// Bits of the count and of the leader's incarnation in the packed form.
const BITS: (u32, u32) = (32, 64);

/// Fencing number of a leader's round; orders of a lower one are refused.
///
/// The count stands before the incarnation, so that a leader that started long ago can overtake one
/// that started since and is gone.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Fence {
    /// Version of the configuration that the leader goes by.
    pub version: u32,
    /// Number of the round.
    #[serde(rename = "count")]
    pub round: u32,
    /// Incarnation of the leader.
    pub leader: id::Incarnation,
}

impl Fence {
    /// Creates the number of a leader's first round.
    #[must_use]
    pub fn new(version: Number, leader: id::Incarnation) -> Self {
        Self {
            version: version.try_into().unwrap_or(u32::MAX),
            round: 0,
            leader,
        }
    }

    /// Returns the number of the round after both this one and another.
    #[must_use]
    pub(crate) fn after(self, other: Fence) -> Self {
        let other = if other.version == self.version {
            other.round
        } else {
            0
        };
        Self {
            round: self.round.max(other).saturating_add(1),
            ..self
        }
    }
}

impl From<Fence> for u128 {
    fn from(fence: Fence) -> Self {
        let high = u128::from(fence.version) << BITS.0 | u128::from(fence.round);
        high << BITS.1 | u128::from(fence.leader)
    }
}

impl From<u128> for Fence {
    fn from(packed: u128) -> Self {
        let high = packed >> BITS.1;
        Self {
            version: (high >> BITS.0) as u32,
            round: high as u32,
            leader: packed as u64,
        }
    }
}
