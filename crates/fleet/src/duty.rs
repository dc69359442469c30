use std::time::Duration;

use tokio::time::Instant;

/// Decides whether this process asks the store itself or learns of changes from other processes.
pub trait Duty: Send + Sync {
    /// Returns whether this process asks the store now.
    fn is_on(&self) -> bool;

    /// Returns whether a process that is off duty asks the store once, since what it knows may be too old.
    fn is_stale(&self) -> bool {
        false
    }

    /// Returns the longest time between two answers of the store, if other processes depend on them.
    fn max_interval(&self) -> Option<Duration> {
        None
    }

    /// Records that the store answered a call of this process.
    fn record_answer(&self);

    /// Records that this process knows all changes that the store had accepted at a time.
    fn record_current(&self, _at: Instant) {}

    /// Records that a call of this process failed, which began at `called_at`.
    fn record_failure(&self, called_at: Instant);
}

/// Duty of a process that always asks the store itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct Always;

impl Duty for Always {
    fn is_on(&self) -> bool {
        true
    }

    fn record_answer(&self) {}

    fn record_failure(&self, _: Instant) {}
}
