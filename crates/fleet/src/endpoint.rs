use std::{net::SocketAddr, time::Duration};

use conf::id;
use serde::{Deserialize, Serialize};

/// Longest cold start of an endpoint.
pub const MAX_COLD_TIME: Duration = Duration::from_secs(3600);

/// Lifecycle stage of an endpoint.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// Takes new work.
    Ready,
    /// Finishes its running requests and takes no new work.
    Draining,
}

/// Endpoint as it registered itself in the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Endpoint {
    /// Service that the endpoint runs.
    pub service: id::Service,
    /// Address on which the endpoint accepts requests.
    pub address: SocketAddr,
    /// Availability zone of the endpoint.
    pub zone: id::Zone,
    /// Number of requests that the endpoint processes concurrently.
    pub slots: u32,
    /// Lifecycle stage; only ready endpoints take new work.
    pub stage: Stage,
    /// Remaining time of the endpoint's cold start, counted from the registration.
    #[serde(rename = "cold")]
    pub cold_time: Duration,
    /// Time of the last start in milliseconds since the Unix epoch; 0 if not given.
    #[serde(rename = "born")]
    pub started_ms: u64,
}
