use std::time::Duration;

use group::Refusal;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// Number that identifies a crash, the same at all entries.
pub type CrashId = u32;

/// Crash of an endpoint that ran a request with a subject.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Crash<K> {
    /// Subject that the endpoint ran.
    pub subject: K,
    /// Id of the crash, the same at all entries.
    pub crash: CrashId,
    /// Time since the crash.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
    /// Whether the request had been sent on after another crash.
    pub is_repeat: bool,
}

/// What an entry tells others of blamed subjects.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct News<K> {
    /// Recent crashes.
    pub crashes: Vec<Crash<K>>,
    /// Subjects that are refused.
    pub refused: Vec<Refusal<K>>,
    /// Blamed subjects that turned out to be sound.
    pub sound: Vec<K>,
}

/// Change of what is refused, for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict<K> {
    /// Requests with the subject are refused from now on.
    Refused(K),
    /// Requests with the subject are refused after a single crash, for a shorter time.
    RefusedEarly(K),
    /// Requests with the subject are no longer refused.
    Sound(K),
}
