use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use uhlc::NTP64;

use conf::id;

/// Hybrid logical timestamp in 64-bit NTP format; a cause has a smaller one than its effect.
pub type Stamp = u64;

/// Returns the time from the Unix epoch to a stamp.
#[must_use]
pub fn since_epoch(stamp: Stamp) -> Duration {
    NTP64(stamp).to_duration()
}

/// Recorded event of a process, or of a request that it handled.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Event {
    /// Process that recorded the event.
    pub process: id::Process,
    /// Number of the event within one run of its process, counted from 0 without gaps.
    pub sequence: u64,
    /// Hybrid logical time of the event.
    pub stamp: Stamp,
    /// Id of the request that the event belongs to, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<SmolStr>,
    /// Kind of the event, with its data.
    pub kind: Kind,
}

impl Kind {
    /// Returns the endpoint that the event concerns, if any.
    #[must_use]
    pub const fn endpoint(&self) -> Option<&id::Endpoint> {
        match self {
            Kind::Offer { endpoint, .. }
            | Kind::Run { endpoint, .. }
            | Kind::Limit { endpoint, .. } => Some(endpoint),
            _ => None,
        }
    }
}

/// Kind of an event, with its data.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "event")]
pub enum Kind {
    /// The process started; events from before the start are not kept.
    Start,
    /// A client's request was accepted.
    Request {
        /// Team of the client.
        team: id::Team,
        /// Service that the request addresses.
        service: id::Service,
    },
    /// A request was offered to an endpoint.
    Offer {
        /// Endpoint that received the offer.
        endpoint: id::Endpoint,
        /// Number of the attempt for this request.
        attempt: u32,
    },
    /// A request or an offer was refused.
    Refusal {
        /// Name of the error kind, as in problem types.
        kind: SmolStr,
    },
    /// An endpoint started to run a request.
    Run {
        /// Endpoint that runs the request.
        endpoint: id::Endpoint,
        /// Number of the attempt for this request.
        attempt: u32,
    },
    /// A complete response was relayed to the client.
    Answer {
        /// HTTP status code.
        status: u16,
        /// Length of the body in bytes.
        length: u64,
    },
    /// A version of the configuration came into force.
    Version {
        /// Version number.
        number: u64,
    },
    /// The connection to another process was established or lost.
    Member {
        /// Name of the other process.
        peer: id::Process,
        /// Whether the connection is established.
        up: bool,
    },
    /// A group reached a step of its switch to another expert map.
    Switch {
        /// Group that switches to the map.
        group: id::Group,
        /// Number of the new map.
        map: u64,
        /// Name of the step.
        step: SmolStr,
    },
    /// The concurrency limit of an endpoint changed.
    Limit {
        /// Endpoint that the limit applies to.
        endpoint: id::Endpoint,
        /// New maximum number of requests in flight.
        limit: u32,
    },
}
