use std::{net::SocketAddr, path::Path};

use conf::{Level, id};
use serde::{Deserialize, Serialize};

use crate::Tuning;

/// Settings of an agent that keeps its group's expert map even.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the process, unique in the fleet.
    pub name: id::Process,
    /// Availability zone of the VM.
    pub zone: id::Zone,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Address of the engine beside the agent.
    pub engine: SocketAddr,
    /// Service that the engine runs.
    pub service: id::Service,
    /// How eagerly the map is changed.
    #[serde(default)]
    pub map: Tuning,
    /// Least important level that is logged.
    #[serde(default = "default_level")]
    pub log: Level,
}

const fn default_level() -> Level {
    Level::Info
}

/// Addresses that an agent listens on.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// TCP and UDP for the other agents, which listen on the same port.
    pub peers: SocketAddr,
    /// HTTP for operators: metrics.
    pub operators: SocketAddr,
}

impl Settings {
    /// Reads and checks a file of JSON with comments.
    ///
    /// # Errors
    ///
    /// Returns file, line and field of the first mistake.
    pub fn load(path: &Path) -> anyhow::Result<Self> {
        conf::load(path)
    }
}
