use std::{net::SocketAddr, path::Path, time::Duration};

use conf::{Level, Limits, id, unit};
use serde::{Deserialize, Serialize};
use serde_with::serde_as;

/// Settings of an entry.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Process name, unique in the fleet.
    pub name: id::Process,
    /// Availability zone of the VM.
    pub zone: id::Zone,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Addresses of entries that are contacted first; all entries use the same gossip port, so the port
    /// given here is ignored.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole fleet starts for the first time, so that no entry ran before on this VM.
    #[serde(default)]
    pub first_start: bool,
    /// Limits that all entries of the fleet keep together.
    pub bounds: Bounds,
    /// Memory and descriptors of the process.
    #[serde(default)]
    pub limits: Limits,
    /// Lowest level that is logged.
    #[serde(default = "default_level")]
    pub log: Level,
}

const fn default_level() -> Level {
    Level::Info
}

/// Addresses that an entry listens on.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// HTTP address for clients.
    pub callers: SocketAddr,
    /// HTTP address for the readiness checks of the load balancer in front.
    pub ready: SocketAddr,
    /// TCP address from which other entries fetch changes of the store.
    pub peers: SocketAddr,
    /// UDP address for gossip with other entries.
    pub gossip: SocketAddr,
    /// UDP address for the state of engine groups; all agents and entries use the same port.
    pub groups: SocketAddr,
    /// HTTP address that serves metrics to operators.
    pub operators: SocketAddr,
}

/// Limits that all entries of the fleet keep together.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Least number of entries among which the limits are divided, even if fewer are known.
    #[serde(default = "default_entries")]
    pub entries: usize,
    /// Retries allowed for each request to a service.
    pub retry_ratio: f64,
    /// Retries to a service that the fleet may send in each window in addition.
    pub retry_extra: f64,
    /// Sliding window over which retries are counted.
    #[serde_as(as = "unit::Span")]
    pub retry_window: Duration,
    /// Factor by which a cold endpoint's rate is multiplied to give its limit.
    pub cold_overshoot: f64,
    /// Requests per second that are added to the limit of a cold endpoint.
    pub cold_slack: f64,
    /// Time within which a change in the store must be in force everywhere.
    #[serde(default = "default_change")]
    #[serde_as(as = "unit::Span")]
    pub change: Duration,
    /// Time from the termination signal until the process is killed.
    #[serde_as(as = "unit::Span")]
    pub grace: Duration,
}

/// Returns the size of the smallest fleets, which have a few entries in each of three zones.
const fn default_entries() -> usize {
    8
}

/// Returns the shortest time that the platform allows for a change.
const fn default_change() -> Duration {
    Duration::from_secs(2)
}

impl Settings {
    /// Reads and validates a file of JSON with comments.
    ///
    /// # Errors
    ///
    /// Returns an error that names file, line and field of the first mistake.
    pub fn load(path: &Path) -> anyhow::Result<Self> {
        conf::load(path)
    }
}
