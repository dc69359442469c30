use conf::{Number, id};
use serde::{Deserialize, Serialize};

/// Bits of the round number in the packed form.
const ROUND_BITS: u32 = 32;
/// Bits of the leader's incarnation in the packed form.
const INCARNATION_BITS: u32 = 64;

/// Fencing token of a leader's round; members refuse orders with a token lower than the highest
/// received.
///
/// Tokens compare by version, then round, then incarnation. The round precedes the incarnation so
/// that a leader that started earlier can exceed the token of one that started later and is gone.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Fence {
    /// Version of the leader's configuration.
    pub version: u32,
    /// Number of the round, 0 before the first.
    #[serde(rename = "count")]
    pub round: u32,
    /// Incarnation of the leader's process.
    pub leader: id::Incarnation,
}

impl Fence {
    /// Creates the token of round 0 of a leader; a version above `u32::MAX` is capped.
    #[must_use]
    pub fn new(version: Number, leader: id::Incarnation) -> Self {
        Self {
            version: version.try_into().unwrap_or(u32::MAX),
            round: 0,
            leader,
        }
    }

    /// Returns this leader's token of the first round after both this one and another.
    ///
    /// The other's round counts only if it is of the same version.
    #[must_use]
    pub(crate) fn next_after(self, other: Fence) -> Self {
        let other_round = if other.version == self.version {
            other.round
        } else {
            0
        };
        Self {
            round: self.round.max(other_round).saturating_add(1),
            ..self
        }
    }
}

impl From<Fence> for u128 {
    fn from(fence: Fence) -> Self {
        let high = u128::from(fence.version) << ROUND_BITS | u128::from(fence.round);
        high << INCARNATION_BITS | u128::from(fence.leader)
    }
}

impl From<u128> for Fence {
    fn from(packed: u128) -> Self {
        let high = packed >> INCARNATION_BITS;
        Self {
            version: (high >> ROUND_BITS) as u32,
            round: high as u32,
            leader: packed as u64,
        }
    }
}
