use std::fmt;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::Number;

/// Place of a record in the published log, counted from 1.
pub type Position = u64;

/// Says what the fold decided on a published record; equal on every process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The record came into force as this version.
    Accepted(Number),
    /// The record changes nothing, for this reason.
    Rejected(SmolStr),
    /// The record is a piece of a longer one that is not complete yet.
    Part(u32),
}

/// Decision on the record at one place of the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Verdict {
    /// Place of the record.
    pub position: Position,
    /// What was decided.
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
