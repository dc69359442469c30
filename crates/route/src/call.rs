use conf::{Priority, id};
use fault::{ErrorKind, Fault};
use tokio::time::Instant;
use wire::Attempt;

use crate::Descriptor;

/// Attempts at one request at most.
const ATTEMPTS: Attempt = 3;
/// Attempts at one request of high priority at most.
const HIGH_ATTEMPTS: Attempt = 6;
/// Pauses of one request at most.
const PAUSES: u32 = 12;

/// Request that is on its way.
pub(crate) struct Call {
    pub(crate) ask: Descriptor,
    pub(crate) attempt: Attempt,
    pub(crate) tried: Vec<id::Endpoint>,
    /// Attempt that is offered or running.
    pub(crate) current: Option<Current>,
    /// Attempts that broke off after they were admitted.
    pub(crate) broken: u32,
    /// Until when the request pauses before its next attempt.
    pub(crate) paused: Option<Instant>,
    pauses: u32,
    /// What the last attempt came to.
    pub(crate) last: Fault,
}

/// Attempt that is offered or running.
pub(crate) struct Current {
    pub(crate) endpoint: id::Endpoint,
    pub(crate) state: State,
}

/// How far an attempt is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum State {
    /// The agent has not answered yet.
    Offered,
    /// Admitted; no piece of the answer has come.
    Started(Instant),
    /// The last piece of the answer came then.
    Streaming(Instant),
    /// The answer waits for its caller to read.
    Waiting,
}

impl Call {
    /// Creates a call without an attempt.
    pub(crate) fn new(ask: Descriptor) -> Self {
        Self {
            ask,
            attempt: 0,
            tried: Vec::new(),
            current: None,
            broken: 0,
            paused: None,
            pauses: 0,
            last: ErrorKind::NoEndpoint.into(),
        }
    }

    /// Returns whether a further attempt is allowed at all.
    pub(crate) fn may_try(&self) -> bool {
        let most = match self.ask.priority {
            Priority::High => HIGH_ATTEMPTS,
            Priority::Normal | Priority::Low => ATTEMPTS,
        };
        self.attempt < most + self.pauses
    }

    /// Pauses until a time, unless the request has paused too often or must be answered before.
    pub(crate) fn pause(&mut self, until: Instant) -> bool {
        let allowed = self.pauses < PAUSES && until < self.ask.deadline;
        if allowed {
            self.pauses += 1;
            self.paused = Some(until);
        }
        allowed
    }

    /// Starts the next attempt at an endpoint.
    pub(crate) fn start(&mut self, endpoint: id::Endpoint) {
        self.attempt += 1;
        self.tried.push(endpoint.clone());
        let state = State::Offered;
        self.current = Some(Current { endpoint, state });
    }
}
