use std::sync::Arc;

use conf::{Document, Priority, id};
use fault::Fault;
use tokio::time::Instant;
use wire::{Attempt, Hint, Request};

/// Decides which endpoint gets which attempt.
pub trait Policy: Send {
    /// Takes in an event at a time and returns what to do now.
    fn handle(&mut self, event: Event, now: Instant) -> Vec<Action>;
}

/// Describes a request for which an endpoint is wanted.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Id of the request.
    pub request: Request,
    /// Team of the caller.
    pub team: id::Team,
    /// Service that is asked for.
    pub service: id::Service,
    /// Priority of the route.
    pub priority: Priority,
    /// Whether the request may be run more than once.
    pub repeatable: bool,
    /// Endpoint that alone may get the request, if its idempotency key has an owner.
    pub owner: Option<id::Endpoint>,
    /// Hashes of growing prefixes of the body, shortest first.
    pub prefix: Vec<u64>,
    /// Time by which the answer must end.
    pub deadline: Instant,
}

/// What a policy learns.
#[derive(Clone, Debug)]
pub enum Event {
    /// A configuration came into force.
    Document(Arc<Document>),
    /// The link to an endpoint's agent came up.
    Up {
        /// The endpoint.
        endpoint: id::Endpoint,
    },
    /// The link to an endpoint's agent went down.
    Down {
        /// The endpoint.
        endpoint: id::Endpoint,
    },
    /// An agent told its load.
    Hint {
        /// The endpoint.
        endpoint: id::Endpoint,
        /// Its load.
        hint: Hint,
    },
    /// A request wants an endpoint.
    Begin(Ask),
    /// An attempt was admitted.
    Admitted {
        /// Id of the request.
        request: Request,
        /// Number of the attempt.
        attempt: Attempt,
    },
    /// An attempt was refused.
    Refused {
        /// Id of the request.
        request: Request,
        /// Number of the attempt.
        attempt: Attempt,
        /// Why; it says whether the request was run.
        fault: Fault,
    },
    /// A piece of the answer arrived.
    Progress {
        /// Id of the request.
        request: Request,
        /// Number of the attempt.
        attempt: Attempt,
    },
    /// An attempt broke off after it was admitted.
    Broken {
        /// Id of the request.
        request: Request,
        /// Number of the attempt.
        attempt: Attempt,
        /// Why.
        fault: Fault,
        /// Whether the entry still holds all that another attempt needs.
        replayable: bool,
    },
    /// A request is over: answered, given up, or its caller is gone.
    Ended {
        /// Id of the request.
        request: Request,
    },
    /// Time has passed; sent a few times a second.
    Tick,
}

/// What an entry must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Offer an attempt to an endpoint.
    Offer {
        /// Id of the request.
        request: Request,
        /// Number of the attempt.
        attempt: Attempt,
        /// The endpoint.
        endpoint: id::Endpoint,
    },
    /// Give a request its final refusal.
    GiveUp {
        /// Id of the request.
        request: Request,
        /// The refusal.
        fault: Fault,
    },
    /// Leave an attempt that is still running.
    Abandon {
        /// Id of the request.
        request: Request,
        /// Number of the attempt.
        attempt: Attempt,
    },
}

impl Action {
    /// Returns the request that the action is for.
    #[must_use]
    pub fn request(&self) -> &Request {
        match self {
            Action::Offer { request, .. }
            | Action::GiveUp { request, .. }
            | Action::Abandon { request, .. } => request,
        }
    }
}
