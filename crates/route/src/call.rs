use conf::{Priority, id};
use fault::{ErrorKind, Fault};
use tokio::time::Instant;
use wire::Attempt;

use crate::Descriptor;

/// Largest number of attempts at one request, besides one for each pause.
const MAX_ATTEMPTS: Attempt = 3;
/// Largest number of attempts at one request of high priority, besides one for each pause.
const MAX_HIGH_PRIORITY_ATTEMPTS: Attempt = 6;
/// Largest number of pauses of one request.
const MAX_PAUSES: u32 = 12;

/// State of a request that has not ended.
pub(crate) struct Call {
    pub(crate) descriptor: Descriptor,
    /// Number of attempts so far.
    pub(crate) attempt: Attempt,
    /// Endpoints that must not get another attempt.
    pub(crate) tried: Vec<id::Endpoint>,
    pub(crate) dispatch: Option<Dispatch>,
    /// Number of attempts that were interrupted after they were admitted.
    pub(crate) interruptions: u32,
    /// Time of the next attempt while the request pauses.
    pub(crate) paused_until: Option<Instant>,
    pauses: u32,
    /// Fault with which the last attempt failed.
    pub(crate) last_fault: Fault,
}

/// Attempt that an endpoint has been offered or is running.
pub(crate) struct Dispatch {
    pub(crate) endpoint: id::Endpoint,
    pub(crate) state: State,
}

/// Progress of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum State {
    /// The agent has not answered the offer yet.
    Offered,
    /// Admitted at this time; no chunk of the answer has arrived.
    Started(Instant),
    /// The last chunk of the answer arrived at this time.
    Streaming(Instant),
    /// The answer can't go on until the client reads.
    Backpressure,
}

impl Call {
    /// Creates the state of a request without an attempt.
    pub(crate) fn new(descriptor: Descriptor) -> Self {
        Self {
            descriptor,
            attempt: 0,
            tried: Vec::new(),
            dispatch: None,
            interruptions: 0,
            paused_until: None,
            pauses: 0,
            last_fault: ErrorKind::NoEndpoint.into(),
        }
    }

    /// Returns whether the limit of attempts allows another one.
    pub(crate) fn has_attempts_left(&self) -> bool {
        let max = match self.descriptor.priority {
            Priority::High => MAX_HIGH_PRIORITY_ATTEMPTS,
            Priority::Normal | Priority::Low => MAX_ATTEMPTS,
        };
        self.attempt < max + self.pauses
    }

    /// Delays the next attempt; returns `false` if the limit of pauses or the deadline forbids it.
    pub(crate) fn pause_until(&mut self, until: Instant) -> bool {
        let allowed = self.pauses < MAX_PAUSES && until < self.descriptor.deadline;
        if allowed {
            self.pauses += 1;
            self.paused_until = Some(until);
        }
        allowed
    }

    /// Starts the next attempt at an endpoint.
    pub(crate) fn start_attempt(&mut self, endpoint: id::Endpoint) {
        self.attempt += 1;
        self.tried.push(endpoint.clone());
        let state = State::Offered;
        self.dispatch = Some(Dispatch { endpoint, state });
    }
}
