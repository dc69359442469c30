use std::{sync::OnceLock, time::Duration};

use tokio::time::Instant;

/// Time before the end of the grace period by which the process exits.
const EXIT_MARGIN: Duration = Duration::from_millis(400);
/// Share of the grace period, and longest time, in which requests are taken that may run for longer than the process:
/// the load balancer in front still sends new connections.
const ADMISSION_SHARE: f64 = 0.3;
const MAX_ADMISSION_TIME: Duration = Duration::from_millis(2600);

/// Grace period of a process, from the start of its shutdown until it exits.
#[derive(Debug)]
pub struct Grace {
    period: Duration,
    started: OnceLock<Instant>,
}

impl Grace {
    /// Creates the grace period of a process that does not shut down yet.
    #[must_use]
    pub const fn new(period: Duration) -> Self {
        Self {
            period,
            started: OnceLock::new(),
        }
    }

    /// Starts the shutdown; later calls do nothing. Returns the time at which the process exits.
    pub fn start(&self, now: Instant) -> Instant {
        let started = *self.started.get_or_init(|| now);
        started + self.period.saturating_sub(EXIT_MARGIN)
    }

    /// Returns whether a request is still taken that may run until `deadline`; requests like it are usually complete
    /// within `usual`, if that is known.
    ///
    /// A request that the process cannot complete is better off elsewhere: here it would be cut.
    #[must_use]
    pub fn admits(&self, deadline: Instant, usual: Option<Duration>, now: Instant) -> bool {
        let Some(started) = self.started.get() else {
            return true;
        };
        let end = *started + self.period.saturating_sub(EXIT_MARGIN);
        let admission_time = self.period.mul_f64(ADMISSION_SHARE).min(MAX_ADMISSION_TIME);
        let is_early = now.duration_since(*started) < admission_time;
        deadline <= end || is_early && usual.is_none_or(|usual| now + usual <= end)
    }
}
