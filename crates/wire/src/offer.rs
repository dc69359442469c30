use std::time::Duration;

use conf::{Number, Priority, id};
use event::Stamp;
use fault::Fault;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMicroSeconds, serde_as};
use smol_str::SmolStr;

use crate::{Header, Hint};

/// Id of a caller's request, unique in the fleet.
pub type Request = SmolStr;
/// Number of an attempt at a request, counted from 1.
pub type Attempt = u32;
/// Token that allows one reserved run to start; a newer one replaces it.
pub type Token = u64;
/// Hash over team, route and body, equal for equal requests.
pub type Fingerprint = u64;

/// Idempotency key of a request that may not be repeated.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Key {
    /// Team that sent the key; keys of two teams never meet.
    pub team: id::Team,
    /// The key itself.
    pub text: SmolStr,
    /// Life of the agent that owns the key, if the key carries it.
    pub owner: Option<Owner>,
}

/// Binds an issued key to one life of one agent, and to a time.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Owner {
    /// Incarnation of the agent.
    pub incarnation: id::Incarnation,
    /// Time after which the key is no longer taken, in seconds since 1970.
    pub expires: u64,
}

/// Offers one attempt at a request to an agent.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Offer {
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
    /// Idempotency key; present exactly if the request may not be repeated.
    pub key: Option<Key>,
    /// Hash by which requests that crash endpoints are recognised.
    pub fingerprint: Fingerprint,
    /// Time left until the deadline.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub time_left: Duration,
    /// Configuration version of the sender.
    pub version: Number,
    /// Clock of the sender.
    pub stamp: Stamp,
    /// HTTP method.
    pub method: SmolStr,
    /// Path and query.
    pub path: SmolStr,
    /// Headers that pass through.
    pub headers: Vec<Header>,
}

/// Answers an offer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Verdict {
    /// The work is admitted. With a token, it starts only after [`crate::Frame::Go`].
    Admitted {
        /// Token of the reservation, if the offer had a key.
        token: Option<Token>,
        /// Load of the endpoint.
        hint: Hint,
    },
    /// The work is refused; the fault says whether it was run.
    Refused {
        /// Why.
        fault: Fault,
        /// Load of the endpoint.
        hint: Hint,
    },
}
