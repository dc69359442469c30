use std::time::Duration;

use tokio::time::Instant;

/// Longest time between two ticks of a process that was not paused.
const MAX_TICK_INTERVAL: Duration = Duration::from_secs(1);
/// Time after a pause in which peers and the platform can report what has changed meanwhile.
const REFRESH_TIME: Duration = Duration::from_secs(1);

/// Detects that the process was paused, after which its view of the system is out of date.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Detector {
    /// Time of the last tick, or of the event after which a pause was detected.
    last_tick: Instant,
    /// Time at which the view may be current again after a pause; `None` while it is current.
    stale_until: Option<Instant>,
    /// Whether the engine has reported its load since the last pause.
    load_reported: bool,
}

impl Detector {
    /// Creates a detector for a process that is not paused.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            last_tick: now,
            stale_until: None,
            load_reported: true,
        }
    }

    /// Records an event; `tick` if it is one of the periodic ticks.
    pub(crate) fn record_event(&mut self, tick: bool, now: Instant) {
        if now.duration_since(self.last_tick) > MAX_TICK_INTERVAL {
            self.stale_until = Some(now + REFRESH_TIME);
            self.load_reported = false;
            self.last_tick = now;
        }
        if tick {
            self.last_tick = now;
        }
        if self.load_reported && self.stale_until.is_some_and(|until| until <= now) {
            self.stale_until = None;
        }
    }

    /// Records that the engine has reported its load.
    pub(crate) fn record_load_report(&mut self) {
        self.load_reported = true;
    }

    /// Returns whether the view of the system is current.
    pub(crate) fn is_current(&self) -> bool {
        self.stale_until.is_none()
    }
}
