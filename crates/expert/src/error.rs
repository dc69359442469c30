use std::{error, fmt};

use conf::id;

/// Names everything that can be wrong with the input of a plan.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ErrorKind {
    /// There are not as many values as the shape asks for.
    Length {
        /// Values that the shape asks for.
        expected: usize,
        /// Values that were given.
        found: usize,
    },
    /// A counter is missing.
    MissingCounter {
        /// Position of the counter, layer by layer.
        position: usize,
    },
    /// A counter is negative.
    NegativeCounter {
        /// Position of the counter, layer by layer.
        position: usize,
    },
    /// A counter is lower than before, as after a restart of an engine.
    DecreasedCounter {
        /// Position of the counter, layer by layer.
        position: usize,
    },
    /// The ranks that are present have fewer slots in a layer than there are experts.
    TooFewSlots {
        /// Slots in a layer over the ranks that are present.
        slots: usize,
        /// Experts in a layer.
        experts: usize,
    },
    /// The speed of a rank is not a positive, finite number.
    InvalidSpeed {
        /// The rank.
        rank: id::Rank,
    },
    /// A slot of the map names an expert that does not exist.
    UnknownExpert {
        /// Position of the slot.
        position: usize,
    },
    /// A count of the shape is zero.
    InvalidShape,
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
            ErrorKind::Length { expected, found } => {
                write!(f, "{expected} values are expected, {found} were given")
            }
            ErrorKind::MissingCounter { position } => write!(f, "counter {position} is missing"),
            ErrorKind::NegativeCounter { position } => write!(f, "counter {position} is negative"),
            ErrorKind::DecreasedCounter { position } => {
                write!(f, "counter {position} is lower than before")
            }
            ErrorKind::TooFewSlots { slots, experts } => write!(
                f,
                "a layer has {slots} slots for {experts} experts; give each rank more slots"
            ),
            ErrorKind::InvalidSpeed { rank } => {
                write!(f, "the speed of rank {rank} is not above zero")
            }
            ErrorKind::UnknownExpert { position } => {
                write!(f, "slot {position} names an expert that does not exist")
            }
            ErrorKind::InvalidShape => {
                f.write_str("ranks, layers, experts and slots must be above zero")
            }
        }
    }
}
