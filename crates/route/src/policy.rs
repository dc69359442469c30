use std::sync::Arc;

use conf::{Document, Priority, id};
use fault::Fault;
use tokio::time::Instant;
use wire::{Attempt, Fingerprint, Hint, Request, Suspect};

/// Decides which endpoint gets which attempt.
pub trait Policy: Send {
    /// Takes in an event at a time and returns what to do now.
    fn handle(&mut self, event: Event, now: Instant) -> Vec<Action>;

    /// Returns the requests that are suspected of crashing endpoints.
    fn suspects(&self, _now: Instant) -> Vec<Suspect> {
        Vec::new()
    }
}

/// Describes a request for which an endpoint is wanted.
#[derive(Clone, Debug)]
pub struct Descriptor {
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
    pub prefixes: Vec<u64>,
    /// Hash by which requests that crash endpoints are recognised.
    pub fingerprint: Fingerprint,
    /// Whether the entry holds all that a second attempt needs.
    pub replayable: bool,
    /// Time by which the answer must end.
    pub deadline: Instant,
}

/// What a policy learns.
#[derive(Clone, Debug)]
pub enum Event {
    /// A configuration came into force.
    Document(Arc<Document>),
    /// The link to an endpoint's agent came up.
    Connected {
        /// The endpoint.
        endpoint: id::Endpoint,
    },
    /// The link to an endpoint's agent went down.
    Disconnected {
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
    Begin(Descriptor),
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
    /// The answer waits for its caller to read.
    Backpressure {
        /// Id of the request.
        request: Request,
    },
    /// An attempt broke off after it was admitted.
    Interrupted {
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
    /// Other processes suspect requests of crashing endpoints.
    Suspects(Vec<Suspect>),
    /// Entries that are alive, with the own one.
    EntryCount(u32),
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
