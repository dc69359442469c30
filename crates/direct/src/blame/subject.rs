use std::{fmt, hash::Hash, time::Duration};

use smol_str::SmolStr;

/// Id of a part of a prompt, which other requests may share.
pub type Part = SmolStr;

/// Hash of team, path and body, which is the same for all attempts of one request.
pub type Fingerprint = u64;

/// What crashes can be blamed on.
pub trait Subject: Clone + Eq + fmt::Debug + Hash {
    /// Number of crashes after which the subject is refused.
    const MAX_CRASHES: usize;
    /// Number of crashes after which a subject is refused that was answered within [`Self::ANSWER_MEMORY`].
    const MAX_CRASHES_IF_ANSWERED: usize;
    /// Time for which a subject is not blamed after a whole answer.
    const SOUND_TIME: Duration;
    /// Time for which whole answers are remembered.
    const ANSWER_MEMORY: Duration;
    /// Whether a break counts only once there is a sign that the endpoint has ended.
    const NEEDS_SIGN: bool;
}

impl Subject for Part {
    const MAX_CRASHES: usize = 3;
    const MAX_CRASHES_IF_ANSWERED: usize = 3;
    const SOUND_TIME: Duration = Duration::from_secs(10);
    const ANSWER_MEMORY: Duration = Duration::from_secs(10);
    const NEEDS_SIGN: bool = true;
}

/// A request is known by its own runs alone, so it is refused early: the platform allows three crashes, and the
/// third may already be under way through another entry. Only an answer that comes after a crash proves it sound.
impl Subject for Fingerprint {
    const MAX_CRASHES: usize = 2;
    const MAX_CRASHES_IF_ANSWERED: usize = 4;
    const SOUND_TIME: Duration = Duration::ZERO;
    const ANSWER_MEMORY: Duration = Duration::from_secs(60);
    const NEEDS_SIGN: bool = false;
}
