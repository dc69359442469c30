use std::{fmt, hash::Hash, time::Duration};

use smol_str::SmolStr;

/// Maximum number of parts that are named in a line of the log.
const MAX_LOGGED_PARTS: usize = 64;

/// Id of a part of a prompt, which other requests may share.
pub type Part = SmolStr;

/// Returns the ids of parts for the log; of many, the first and how many others there are.
pub(crate) fn list_parts(parts: &[Part]) -> String {
    let (named, others) = parts.split_at(parts.len().min(MAX_LOGGED_PARTS));
    match others.len() {
        0 => named.join(","),
        count => format!("{} and {count} more", named.join(",")),
    }
}

/// Hash of team, path and body, which is the same for all attempts of one request.
pub type Fingerprint = u64;

/// What crashes can be blamed on.
pub trait Subject: Clone + fmt::Debug + Hash + Ord {
    /// Number of crashes after which the subject is refused.
    const MAX_CRASHES: usize;
    /// Number of further crashes that a subject is allowed that was answered within [`Self::ANSWER_MEMORY`].
    const ANSWERED_ALLOWANCE: usize;
    /// Number of further crashes that it is allowed from [`Self::DOUBT_TIME`] on.
    const DOUBT_ALLOWANCE: usize;
    /// Time without an answer after which a subject may be refused that was answered before.
    const SILENCE_TIME: Duration;
    /// Time from the first crash on after which it may be, if others are answered meanwhile and it explains all crashes.
    const DOUBT_TIME: Duration;
    /// Time for which whole answers are remembered, as long as there is room.
    const ANSWER_MEMORY: Duration;
    /// Maximum number of subjects whose answers are remembered.
    const MAX_ANSWERED: usize;
    /// Maximum number of blamed subjects, and of subjects of broken connections.
    const MAX_BLAMED: usize;
    /// Whether a break counts only once there is a sign that the endpoint has ended.
    const NEEDS_SIGN: bool;
    /// Whether a request has several subjects of this kind, one of which explains its crashes.
    const IS_PART: bool;
}

impl Subject for Part {
    const MAX_CRASHES: usize = 3;
    const ANSWERED_ALLOWANCE: usize = 2;
    const DOUBT_ALLOWANCE: usize = 4;
    const SILENCE_TIME: Duration = Duration::from_secs(10);
    const DOUBT_TIME: Duration = Duration::from_secs(3);
    const ANSWER_MEMORY: Duration = Duration::MAX;
    const MAX_ANSWERED: usize = 16_384;
    const MAX_BLAMED: usize = 16_384;
    const NEEDS_SIGN: bool = true;
    const IS_PART: bool = true;
}

/// A request is known by its own runs alone, so it is refused early: the platform allows three crashes, and the
/// third may already be under way through another entry. Only an answer that comes after a crash proves it sound.
impl Subject for Fingerprint {
    const MAX_CRASHES: usize = 2;
    const ANSWERED_ALLOWANCE: usize = 2;
    const DOUBT_ALLOWANCE: usize = 2;
    const SILENCE_TIME: Duration = Duration::ZERO;
    const DOUBT_TIME: Duration = Duration::ZERO;
    const ANSWER_MEMORY: Duration = Duration::from_secs(60);
    const MAX_ANSWERED: usize = 4096;
    const MAX_BLAMED: usize = 2048;
    const NEEDS_SIGN: bool = false;
    const IS_PART: bool = false;
}
