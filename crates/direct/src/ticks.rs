use std::time::Duration;

use tokio::time::Instant;

/// Time between two ticks after which the process was paused, so that messages may have waited for as long.
const PAUSE_TIME: Duration = Duration::from_millis(400);
/// Time after a pause in which such messages may still come in.
const PAUSE_BACKLOG_TIME: Duration = Duration::from_millis(300);

/// Times by which pauses of the process are detected.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ticks {
    last: Instant,
    /// Time until which messages may have waited while the process was paused.
    doubtful_until: Instant,
}

impl Ticks {
    /// Creates the state of a process that has just started.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            last: now,
            doubtful_until: now,
        }
    }

    /// Records a tick of the process.
    pub(crate) fn record(&mut self, now: Instant) {
        if now.duration_since(self.last) >= PAUSE_TIME {
            self.doubtful_until = now + PAUSE_BACKLOG_TIME;
        }
        self.last = now;
    }

    /// Returns whether messages that are read now were sent just before.
    pub(crate) fn are_messages_recent(&self, now: Instant) -> bool {
        now >= self.doubtful_until && now.duration_since(self.last) < PAUSE_TIME
    }
}
