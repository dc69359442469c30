use std::{net::SocketAddr, path::Path};

use conf::{Level, id};
use serde::{Deserialize, Serialize};

use crate::Tuning;

/// Settings of an agent that balances the expert map of its engine's group.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the process, unique in the fleet.
    pub name: id::Process,
    /// Availability zone of the VM.
    pub zone: id::Zone,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Address of the platform's store, where the leader finds the other agents and its limits.
    pub store: SocketAddr,
    /// Address of the agent's own engine.
    pub engine: SocketAddr,
    /// Addresses of entries that are told of the group first; all entries use the port of
    /// `listen.groups`, so the port given here is ignored.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Service that the engine runs.
    pub service: id::Service,
    /// Whether the whole fleet starts for the first time, so that no entry ran before.
    #[serde(default)]
    pub first_start: bool,
    /// Thresholds and limits for changing the map.
    #[serde(default)]
    pub map: Tuning,
    /// Minimum level of log lines.
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
    /// TCP and UDP for the other agents, which must use the same port.
    pub peers: SocketAddr,
    /// UDP for the state of the group that entries are told; all agents and entries use the same port.
    pub groups: SocketAddr,
    /// HTTP for operators: metrics.
    pub operators: SocketAddr,
}

impl Settings {
    /// Reads and validates a file of JSON with comments.
    ///
    /// # Errors
    ///
    /// Returns an error with the file, line and field of the first error.
    pub fn load(path: &Path) -> anyhow::Result<Self> {
        conf::load(path)
    }
}
