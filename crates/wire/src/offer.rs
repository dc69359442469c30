use std::time::Duration;

use conf::{Number, Priority, id};
use event::Stamp;
use fault::Fault;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMicroSeconds, serde_as};
use smol_str::SmolStr;

use crate::{Header, Hint};

/// Identifier of a client's request, unique in the fleet.
pub type Request = SmolStr;
/// Number of an attempt at a request, counted from 1.
pub type Attempt = u32;
/// Token that an admitted attempt with a key needs to start; a newer token for the key invalidates it.
pub type Token = u64;
/// Hash of team, route and body, by which repetitions of a request are recognised.
pub type Fingerprint = u64;

/// Idempotency key of a request that must not run twice.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Key {
    /// Team that sent the key; equal texts of two teams are different keys.
    pub team: id::Team,
    /// Text of the key.
    pub text: SmolStr,
    /// Owner of the key, if the key names one.
    pub owner: Option<Owner>,
}

/// Incarnation of an agent to which an issued key is bound, and expiry of the key.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Owner {
    /// Incarnation of the agent.
    pub incarnation: id::Incarnation,
    /// Time after which the key is rejected, in seconds since 1970.
    pub expires: u64,
}

/// Offer of one attempt at a request to an agent.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Offer {
    /// Identifier of the request.
    pub request: Request,
    /// Number of the attempt.
    pub attempt: Attempt,
    /// Service that the request is for.
    pub service: id::Service,
    /// Team of the client.
    pub team: id::Team,
    /// Priority of the route.
    pub priority: Priority,
    /// Idempotency key; present if and only if the request must not run twice.
    pub key: Option<Key>,
    /// Hash by which requests that crash engines are recognised.
    pub fingerprint: Fingerprint,
    /// Time until the deadline, in microseconds when encoded.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub time_left: Duration,
    /// Configuration version in force at the sender.
    pub version: Number,
    /// Clock of the sender, past which the receiver advances its own.
    pub stamp: Stamp,
    /// HTTP method.
    pub method: SmolStr,
    /// Path and query of the request.
    pub path: SmolStr,
    /// Headers that are forwarded to the engine.
    pub headers: Vec<Header>,
}

/// Answer of an agent to an offer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Verdict {
    /// The attempt is admitted; if there is a token, it starts only after [`crate::Frame::Go`].
    Admitted {
        /// Token that starts the run; present if the offer had a key.
        token: Option<Token>,
        /// Load of the endpoint after the decision.
        hint: Hint,
    },
    /// The attempt is refused.
    Refused {
        /// Reason, which also says whether the request may have run.
        fault: Fault,
        /// Load of the endpoint after the decision.
        hint: Hint,
    },
}
