use std::fmt;

use serde::{Deserialize, Serialize};

/// Position of a change in the store's total order of changes.
///
/// A store that comes back from an older copy begins a new era, in which it gives out the numbers after
/// the copy again. Any change of a later era is newer than all changes of the eras before.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Revision {
    /// Era of the store; 0 if the store states none.
    pub era: u64,
    /// Number of the change, unique within the era.
    pub number: u64,
}

impl Revision {
    /// Creates the position of a change.
    #[must_use]
    pub const fn new(era: u64, number: u64) -> Self {
        Self { era, number }
    }
}

impl From<u64> for Revision {
    /// Returns the position of a change in a store that states no era.
    fn from(number: u64) -> Self {
        Self::new(0, number)
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era {
            0 => write!(f, "{}", self.number),
            era => write!(f, "{era}:{}", self.number),
        }
    }
}
