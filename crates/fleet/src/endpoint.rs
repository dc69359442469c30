use std::{net::SocketAddr, time::Duration};

use conf::id;
use serde::{Deserialize, Serialize};

/// Says whether an endpoint takes new work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// Takes new work.
    Ready,
    /// Finishes what it has and takes no new work.
    Draining,
}

/// Describes one endpoint as it announced itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Endpoint {
    /// Service that it runs.
    pub service: id::Service,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: id::Zone,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub stage: Stage,
    /// Time for which it stays cold, counted from the announcement.
    #[serde(rename = "cold")]
    pub cold_time: Duration,
    /// Start of its current life in milliseconds since 1970; 0 if it does not say.
    #[serde(rename = "born")]
    pub started_ms: u64,
}
