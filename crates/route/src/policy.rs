use std::sync::Arc;

use conf::{Document, Priority, id};
use fault::Fault;
use tokio::time::Instant;
use wire::{Attempt, Fingerprint, Hint, Request, Suspect};

/// Decides to which endpoint each attempt goes, and when a request is retried or rejected.
pub trait Policy: Send {
    /// Handles an event that occurs at `now` and returns the actions to carry out.
    fn handle(&mut self, event: Event, now: Instant) -> Vec<Action>;

    /// Returns the requests that are suspected of crashing endpoints.
    fn suspects(&self, _now: Instant) -> Vec<Suspect> {
        Vec::new()
    }
}

/// Describes a request to route.
#[derive(Clone, Debug)]
pub struct Descriptor {
    /// Id of the request; the same for all of its attempts.
    pub request: Request,
    /// Team of the client, for its rate limit and retry budget.
    pub team: id::Team,
    /// Service whose endpoints may run the request.
    pub service: id::Service,
    /// Priority of the request, from its route.
    pub priority: Priority,
    /// Whether the request may be run more than once.
    pub repeatable: bool,
    /// Only endpoint that may run the request, if its idempotency key has an owner.
    pub owner: Option<id::Endpoint>,
    /// Hashes of prefixes of the body, from the shortest to the longest.
    pub prefixes: Vec<u64>,
    /// Hash of the team, method, path and start of the body; recognises a request that crashes
    /// endpoints when it is sent again.
    pub fingerprint: Fingerprint,
    /// Whether the entry holds all the data that a second attempt needs.
    pub replayable: bool,
    /// Time by which the answer must be complete.
    pub deadline: Instant,
}

/// Input of a policy.
#[derive(Clone, Debug)]
pub enum Event {
    /// A configuration came into force.
    Document(Arc<Document>),
    /// The connection to an endpoint's agent was established.
    Connected {
        /// Endpoint that the agent serves.
        endpoint: id::Endpoint,
    },
    /// The connection to an endpoint's agent was lost.
    Disconnected {
        /// Endpoint that the agent serves.
        endpoint: id::Endpoint,
    },
    /// An agent reported its load and limit.
    Hint {
        /// Endpoint that the agent serves.
        endpoint: id::Endpoint,
        /// Load and limit of the endpoint.
        hint: Hint,
    },
    /// A request arrived that needs an endpoint.
    Begin(Descriptor),
    /// An endpoint admitted an attempt.
    Admitted {
        /// Id of the request.
        request: Request,
        /// Number of the attempt, from 1.
        attempt: Attempt,
    },
    /// An endpoint refused an attempt.
    Refused {
        /// Id of the request.
        request: Request,
        /// Number of the attempt, from 1.
        attempt: Attempt,
        /// Reason for the refusal; also says whether the request was run.
        fault: Fault,
    },
    /// A chunk of the answer arrived.
    Progress {
        /// Id of the request.
        request: Request,
        /// Number of the attempt, from 1.
        attempt: Attempt,
    },
    /// The answer can't go on until the client reads.
    Backpressure {
        /// Id of the request.
        request: Request,
    },
    /// An attempt ended early after it was admitted.
    Interrupted {
        /// Id of the request.
        request: Request,
        /// Number of the attempt, from 1.
        attempt: Attempt,
        /// Reason for the interruption.
        fault: Fault,
        /// Whether the entry still holds all the data that another attempt needs.
        replayable: bool,
    },
    /// A request ended: it was answered or rejected, or the client disconnected.
    Ended {
        /// Id of the request.
        request: Request,
    },
    /// Other processes reported requests that they suspect of crashing endpoints.
    Suspects(Vec<Suspect>),
    /// Number of entries that are alive, this one included.
    EntryCount(u32),
    /// Periodic timer, several times a second.
    Tick,
}

/// Output of a policy, which the entry carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Offer an attempt to an endpoint.
    Offer {
        /// Id of the request.
        request: Request,
        /// Number of the attempt, from 1.
        attempt: Attempt,
        /// Endpoint whose agent gets the offer.
        endpoint: id::Endpoint,
    },
    /// Reject a request; there are no further attempts.
    Reject {
        /// Id of the request.
        request: Request,
        /// Reason, and time after which the client may retry.
        fault: Fault,
    },
    /// Abandon an attempt that is still running.
    Abandon {
        /// Id of the request.
        request: Request,
        /// Number of the attempt, from 1.
        attempt: Attempt,
    },
}

impl Action {
    /// Returns the id of the request to act on.
    #[must_use]
    pub fn request(&self) -> &Request {
        match self {
            Action::Offer { request, .. }
            | Action::Reject { request, .. }
            | Action::Abandon { request, .. } => request,
        }
    }
}
