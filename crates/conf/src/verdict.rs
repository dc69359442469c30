use std::fmt;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::Number;

/// Position of a record in the published log, counted from 1.
pub type Position = u64;

/// Result of applying a published record; it is the same on every process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The record created this version.
    Accepted(Number),
    /// The record was ignored, for this reason.
    Rejected(SmolStr),
    /// The record is the piece with this index of a longer record that is not complete yet.
    Part(u32),
}

/// Outcome of the record at one position of the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Verdict {
    /// Position of the record.
    pub position: Position,
    /// Result of applying the record.
    pub outcome: Outcome,
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let position = self.position;
        match &self.outcome {
            Outcome::Accepted(number) => {
                write!(f, "record {position}: accepted as version {number}")
            }
            Outcome::Rejected(reason) => write!(f, "record {position}: rejected: {reason}"),
            Outcome::Part(part) => write!(f, "record {position}: part {part} of a longer record"),
        }
    }
}
