use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use uhlc::NTP64;

use conf::id;

/// Reading of a hybrid logical clock, as 64-bit NTP time; orders cause before effect.
pub type Stamp = u64;

/// Returns the time of a stamp since 1970.
#[must_use]
pub fn since_epoch(stamp: Stamp) -> Duration {
    NTP64(stamp).to_duration()
}

/// Records one thing that a process did or learned.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Event {
    /// Process that recorded the event.
    pub process: id::Process,
    /// Position in the process's own order, without gaps.
    pub sequence: u64,
    /// Hybrid logical time.
    pub stamp: Stamp,
    /// Request that the event belongs to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<SmolStr>,
    /// What happened.
    pub kind: Kind,
}

impl Kind {
    /// Returns the endpoint that the event is about.
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

/// Says what happened.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "event")]
pub enum Kind {
    /// The process started; what it did in an earlier life is not kept.
    Start,
    /// A caller's request was accepted for work.
    Request {
        /// Team of the caller.
        team: id::Team,
        /// Service that was asked for.
        service: id::Service,
    },
    /// Work was offered to an endpoint.
    Offer {
        /// Endpoint that got the offer.
        endpoint: id::Endpoint,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Work was refused.
    Refusal {
        /// Name of the error kind.
        kind: SmolStr,
    },
    /// Work was started at an endpoint.
    Run {
        /// Endpoint that runs it.
        endpoint: id::Endpoint,
        /// Number of the attempt.
        attempt: u32,
    },
    /// An answer ended whole.
    Answer {
        /// HTTP status.
        status: u16,
        /// Length of the body in bytes.
        length: u64,
    },
    /// A version of the configuration came into force.
    Version {
        /// Number of the version.
        number: u64,
    },
    /// A link to another process came up or went down.
    Member {
        /// The other process.
        peer: id::Process,
        /// Whether the link is up.
        up: bool,
    },
    /// A step of a switch of expert maps.
    Switch {
        /// Group that switches.
        group: id::Group,
        /// Number of the map.
        map: u64,
        /// Name of the step.
        step: SmolStr,
    },
    /// The limit of an endpoint changed.
    Limit {
        /// The endpoint.
        endpoint: id::Endpoint,
        /// Requests in flight that it now allows.
        limit: u32,
    },
}
