use std::{error, fmt};

use conf::id;

use crate::VACANT;

/// Fault in the input of a planner or an estimate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ErrorKind {
    /// A list has another number of values than the shape implies.
    Length {
        /// Number of values that the shape implies.
        expected: usize,
        /// Number of values given.
        found: usize,
    },
    /// A counter is missing.
    MissingCounter {
        /// Position of the counter: layer by layer, expert by expert.
        position: usize,
    },
    /// A counter is negative.
    NegativeCounter {
        /// Position of the counter: layer by layer, expert by expert.
        position: usize,
    },
    /// A counter is lower than in the previous observation, as after a restart of an engine.
    DecreasedCounter {
        /// Position of the counter: layer by layer, expert by expert.
        position: usize,
    },
    /// The present ranks have fewer slots in a layer than the layer has experts.
    TooFewSlots {
        /// Number of slots in a layer, summed over the present ranks.
        slots: usize,
        /// Number of experts in a layer.
        experts: usize,
    },
    /// The speed of a rank is not a positive, finite number.
    InvalidSpeed {
        /// Index of the rank.
        rank: id::Rank,
    },
    /// A slot of the map names an expert that does not exist.
    UnknownExpert {
        /// Position of the slot in the map, layer by layer, rank by rank.
        position: usize,
    },
    /// A count of the shape is zero, or there are too many experts in a layer to number.
    InvalidShape,
}

/// Error of a planner or an estimate; the map in force stays.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Error(ErrorKind);

impl Error {
    /// Returns the fault in the input.
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
                write!(f, "expected {expected} values, found {found}")
            }
            ErrorKind::MissingCounter { position } => write!(f, "counter {position} is missing"),
            ErrorKind::NegativeCounter { position } => write!(f, "counter {position} is negative"),
            ErrorKind::DecreasedCounter { position } => {
                write!(
                    f,
                    "counter {position} is lower than in the previous observation"
                )
            }
            ErrorKind::TooFewSlots { slots, experts } => write!(
                f,
                "{slots} slots per layer cannot hold {experts} experts; give each rank more slots"
            ),
            ErrorKind::InvalidSpeed { rank } => {
                write!(
                    f,
                    "the speed of rank {rank} is not a positive, finite number"
                )
            }
            ErrorKind::UnknownExpert { position } => {
                write!(f, "slot {position} names an expert that does not exist")
            }
            ErrorKind::InvalidShape => {
                write!(
                    f,
                    "ranks, layers, experts and slots must be above zero, and experts below {VACANT}"
                )
            }
        }
    }
}
