use std::{fmt, hash::Hash, time::Duration};

use smol_str::SmolStr;

/// Id of a part of a prompt, which other requests may share.
pub type Part = SmolStr;

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
    const NEEDS_SIGN: bool = false;
    const IS_PART: bool = false;
}
