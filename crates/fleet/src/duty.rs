use tokio::time::Instant;

/// Decides whether this process asks the store itself or learns of changes from other processes.
pub trait Duty: Send + Sync {
    /// Returns whether this process asks the store now.
    fn is_on(&self) -> bool;

    /// Records that the store answered a call of this process.
    fn record_answer(&self);

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
