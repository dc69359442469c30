use std::time::Duration;

use tokio::time::Instant;

/// Least time between two log lines.
const INTERVAL: Duration = Duration::from_secs(10);

/// Limits how often a condition is logged that may hold all the time.
#[derive(Debug, Default)]
pub(crate) struct Throttle {
    logged_at: Option<Instant>,
}

impl Throttle {
    /// Returns whether the condition is to be logged now.
    pub(crate) fn allows(&mut self) -> bool {
        let now = Instant::now();
        let is_due = |at: Instant| now.duration_since(at) >= INTERVAL;
        let allowed = self.logged_at.is_none_or(is_due);
        if allowed {
            self.logged_at = Some(now);
        }
        allowed
    }
}
