use std::sync::Arc;

use conf::{Document, Number, Priority, id};
use fault::Fault;
use tokio::time::Instant;
use wire::{Attempt, Fingerprint, Hint, Request, Suspect};

/// Decides which attempts an endpoint runs, and when.
pub trait Policy: Send {
    /// Handles an event that occurs at `now` and returns the actions to carry out.
    fn handle(&mut self, event: Event, now: Instant) -> Vec<Action>;

    /// Returns the current load and limit, for heartbeats and answers to offers.
    fn hint(&self) -> Hint;

    /// Returns the requests that this endpoint or others suspect of crashing endpoints.
    fn suspects(&self, _now: Instant) -> Vec<Suspect> {
        Vec::new()
    }
}

/// Describes an attempt that is offered for admission.
#[derive(Clone, Debug)]
pub struct Descriptor {
    /// Id of the request; the same for all of its attempts.
    pub request: Request,
    /// Number of the attempt, from 1.
    pub attempt: Attempt,
    /// Service that the endpoint must belong to.
    pub service: id::Service,
    /// Team of the client, for fair queueing.
    pub team: id::Team,
    /// Priority of the request, from its route.
    pub priority: Priority,
    /// Whether the request may be run more than once.
    pub repeatable: bool,
    /// Hash of the team, method, path and start of the body; recognises a request that crashes
    /// endpoints when it is sent again.
    pub fingerprint: Fingerprint,
    /// Time by which the answer must be complete.
    pub deadline: Instant,
    /// Version of the configuration that the entry uses.
    pub version: Number,
}

/// Input of a policy.
#[derive(Clone, Debug)]
pub enum Event {
    /// A configuration came into force.
    Document {
        /// Version of the configuration; grows with each change.
        number: Number,
        /// Content of the configuration.
        document: Arc<Document>,
    },
    /// An entry offers an attempt for admission.
    Offer(Descriptor),
    /// The entry withdrew an attempt that waits, or that was admitted but has not started.
    Withdrawn {
        /// Id of the request.
        request: Request,
        /// Number of the attempt, from 1.
        attempt: Attempt,
    },
    /// The first chunk of the answer to an admitted attempt arrived from the engine.
    FirstChunk {
        /// Id of the request.
        request: Request,
        /// Number of the attempt, from 1.
        attempt: Attempt,
    },
    /// An admitted attempt ended.
    Finished {
        /// Id of the request.
        request: Request,
        /// Number of the attempt, from 1.
        attempt: Attempt,
        /// Whether the answer is complete, and if not, which side ended it.
        outcome: Outcome,
    },
    /// A health check of the engine or service returned.
    Status(Status),
    /// The agent is shutting down: no attempt is admitted from now on.
    Shutdown,
    /// Other processes reported requests that they suspect of crashing endpoints.
    Suspects(Vec<Suspect>),
    /// Periodic timer, several times a second.
    Tick,
}

/// Result of an admitted attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The answer is complete.
    Done,
    /// The engine answered with an error.
    Failed,
    /// The connection to the engine was lost.
    Disconnected,
    /// It ended for a cause outside the engine: the entry cancelled it, its deadline passed, or
    /// the request was malformed.
    Cancelled,
}

/// Result of a health check of an engine or service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Status {
    /// It answers after it had not, or for the first time.
    Up,
    /// It can't be reached.
    Down,
    /// It has restarted since the last check.
    Restarted,
    /// It reported its load.
    Load {
        /// Number of requests in its batch.
        running: u32,
        /// Number of requests in its queue.
        queued: u32,
    },
}

/// Output of a policy, which the agent carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Admit an attempt.
    Admit {
        /// Id of the request.
        request: Request,
        /// Number of the attempt, from 1.
        attempt: Attempt,
    },
    /// Refuse an attempt, which has not been run.
    Refuse {
        /// Id of the request.
        request: Request,
        /// Number of the attempt, from 1.
        attempt: Attempt,
        /// Reason, and time after which the request may be retried.
        fault: Fault,
    },
}

impl Action {
    /// Returns the id of the request and the number of the attempt to act on.
    #[must_use]
    pub fn target(&self) -> (&Request, Attempt) {
        match self {
            Action::Admit { request, attempt }
            | Action::Refuse {
                request, attempt, ..
            } => (request, *attempt),
        }
    }
}
