use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use smol_str::SmolStr;

/// Time for which a subject is refused.
pub const REFUSAL_TIME: Duration = Duration::from_secs(600);
/// Maximum number of refusals in one datagram.
pub const MAX_REFUSALS: usize = 64;

/// What endpoints crash under.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Subject {
    /// Hash of a request's team, path and body.
    Request(u64),
    /// Id of a part of prompts.
    Part(SmolStr),
}

/// Subject that entries refuse: of one kind, or of any.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal<K = Subject> {
    /// Subject that is refused.
    pub subject: K,
    /// Time since it has been.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
    /// Number of crashes for which it is.
    pub crashes: u32,
}

impl<K> Refusal<K> {
    /// Converts the subject.
    pub fn map<L>(self, convert: impl FnOnce(K) -> L) -> Refusal<L> {
        let Self {
            subject,
            age,
            crashes,
        } = self;
        Refusal {
            subject: convert(subject),
            age,
            crashes,
        }
    }
}

/// What a process knows of refused subjects.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusals {
    /// Time for which the process knows of all crashes, at most [`REFUSAL_TIME`].
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub memory: Duration,
    /// Refused subjects, a sample if they are many.
    pub refused: Vec<Refusal>,
}
