use std::{error, fmt};

use conf::id;

/// Names everything that can be wrong with the input of a plan.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ErrorKind {
    /// There are not as many values as the shape asks for.
    Size {
        /// Values that the shape asks for.
        expected: usize,
        /// Values that were given.
        found: usize,
    },
    /// A counter is missing.
    Missing {
        /// Position of the counter, layer by layer.
        position: usize,
    },
    /// A counter is negative.
    Negative {
        /// Position of the counter, layer by layer.
        position: usize,
    },
    /// A counter is lower than before, as after a restart of an engine.
    Backwards {
        /// Position of the counter, layer by layer.
        position: usize,
    },
    /// The ranks that are present have fewer slots in a layer than there are experts.
    Slots {
        /// Slots in a layer over the ranks that are present.
        slots: usize,
        /// Experts in a layer.
        experts: usize,
    },
    /// The speed of a rank is not a positive, finite number.
    Speed {
        /// The rank.
        rank: id::Rank,
    },
    /// A slot of the map names an expert that does not exist.
    Expert {
        /// Position of the slot.
        position: usize,
    },
    /// A count of the shape is zero.
    Empty,
}

/// Says why a plan was not made; the map in force stays.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Error(ErrorKind);

impl Error {
    /// Returns what is wrong.
    #[must_use]
    pub fn kind(&self) -> ErrorKind {
        self.0
    }
}

impl From<ErrorKind> for Error {
    fn from(kind: ErrorKind) -> Self {
        Self(kind)
    }
}

impl error::Error for Error {}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            ErrorKind::Size { expected, found } => {
                write!(f, "{expected} values are expected, {found} were given")
            }
            ErrorKind::Missing { position } => write!(f, "counter {position} is missing"),
            ErrorKind::Negative { position } => write!(f, "counter {position} is negative"),
            ErrorKind::Backwards { position } => {
                write!(f, "counter {position} is lower than before")
            }
            ErrorKind::Slots { slots, experts } => write!(
                f,
                "a layer has {slots} slots for {experts} experts; give each rank more slots"
            ),
            ErrorKind::Speed { rank } => {
                write!(f, "the speed of rank {rank} is not above zero")
            }
            ErrorKind::Expert { position } => {
                write!(f, "slot {position} names an expert that does not exist")
            }
            ErrorKind::Empty => f.write_str("ranks, layers, experts and slots must be above zero"),
        }
    }
}
