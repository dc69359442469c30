use std::time::Duration;

use tokio::time::Instant;

/// Longest time between two ticks of a process that was not paused.
const GAP: Duration = Duration::from_secs(1);
/// Time after a pause in which peers and the platform can tell what has changed.
const REFRESH: Duration = Duration::from_secs(1);

/// Notices that the own process was paused: what it believed before is old.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pulse {
    last: Instant,
    stale: Option<Instant>,
    heard: bool,
}

impl Pulse {
    /// Creates a pulse that beats.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            last: now,
            stale: None,
            heard: true,
        }
    }

    /// Takes in that an event came; `tick` if it is one of the regular ticks.
    pub(crate) fn event(&mut self, tick: bool, now: Instant) {
        if now.duration_since(self.last) > GAP {
            self.stale = Some(now + REFRESH);
            self.heard = false;
            self.last = now;
        }
        if tick {
            self.last = now;
        }
        if self.heard && self.stale.is_some_and(|until| until <= now) {
            self.stale = None;
        }
    }

    /// Takes in a sign of life of the endpoint, seen after the pause.
    pub(crate) fn hear(&mut self) {
        self.heard = true;
    }

    /// Returns whether what is believed may be acted on.
    pub(crate) fn fresh(&self) -> bool {
        self.stale.is_none()
    }
}
