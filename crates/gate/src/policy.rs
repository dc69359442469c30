use std::sync::Arc;

use conf::{Document, Number, Priority, id};
use fault::Fault;
use tokio::time::Instant;
use wire::{Attempt, Fingerprint, Hint, Request, Suspect};

/// Decides which attempts an endpoint takes, and when.
pub trait Policy: Send {
    /// Takes in an event at a time and returns what to do now.
    fn handle(&mut self, event: Event, now: Instant) -> Vec<Action>;

    /// Returns the load, for heartbeats and verdicts.
    fn hint(&self) -> Hint;

    /// Returns the requests that this endpoint and others suspect of crashing endpoints.
    fn suspects(&self, _now: Instant) -> Vec<Suspect> {
        Vec::new()
    }
}

/// Describes an attempt that wants to be admitted.
#[derive(Clone, Debug)]
pub struct Descriptor {
    /// Id of the request.
    pub request: Request,
    /// Number of the attempt.
    pub attempt: Attempt,
    /// Service that is asked for.
    pub service: id::Service,
    /// Team of the caller.
    pub team: id::Team,
    /// Priority of the route.
    pub priority: Priority,
    /// Whether the request may be run more than once.
    pub repeatable: bool,
    /// Hash by which requests that crash endpoints are recognised.
    pub fingerprint: Fingerprint,
    /// Time by which the answer must end.
    pub deadline: Instant,
    /// Configuration version of the sender.
    pub version: Number,
}

/// What a policy learns.
#[derive(Clone, Debug)]
pub enum Event {
    /// A configuration came into force.
    Document {
        /// Number of the version.
        number: Number,
        /// The configuration.
        document: Arc<Document>,
    },
    /// An attempt wants to be admitted.
    Offer(Descriptor),
    /// The entry no longer wants an attempt that waits or is admitted but has not started.
    Withdrawn {
        /// Id of the request.
        request: Request,
        /// Number of the attempt.
        attempt: Attempt,
    },
    /// An admitted attempt got its first piece of an answer.
    FirstChunk {
        /// Id of the request.
        request: Request,
        /// Number of the attempt.
        attempt: Attempt,
    },
    /// An admitted attempt is over.
    Finished {
        /// Id of the request.
        request: Request,
        /// Number of the attempt.
        attempt: Attempt,
        /// How it ended.
        outcome: Outcome,
    },
    /// The engine or service gave a sign of its state.
    Status(Status),
    /// The agent shuts down: nothing new is admitted.
    Shutdown,
    /// Other agents suspect requests of crashing endpoints.
    Suspects(Vec<Suspect>),
    /// Time has passed; sent a few times a second.
    Tick,
}

/// Says how an admitted attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The answer is whole.
    Done,
    /// The engine answered with an error of its own.
    Failed,
    /// The engine's connection broke.
    Disconnected,
    /// The entry left.
    Cancelled,
}

/// Status of the state of an engine or service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Status {
    /// It answers.
    Up,
    /// It cannot be reached.
    Down,
    /// It has started again since it was last seen.
    Restarted,
    /// It reports its load.
    Load {
        /// Requests in its batch.
        running: u32,
        /// Requests that it has queued.
        queued: u32,
    },
}

/// What an agent must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Admit an attempt.
    Admit {
        /// Id of the request.
        request: Request,
        /// Number of the attempt.
        attempt: Attempt,
    },
    /// Refuse an attempt, which has not been run.
    Refuse {
        /// Id of the request.
        request: Request,
        /// Number of the attempt.
        attempt: Attempt,
        /// Why, and when to come back.
        fault: Fault,
    },
}

impl Action {
    /// Returns the attempt that the action is for.
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
