use std::{net::SocketAddr, path::Path, time::Duration};

use conf::{Level, id, unit};
use serde::{Deserialize, Serialize};
use serde_with::serde_as;

/// Settings of an entry that sends directly to endpoints.
#[serde_as]
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
    /// Entries to ask first; all listen on the same ports.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Bounds that the fleet keeps as a whole.
    pub bounds: Bounds,
    /// Least important level that is logged.
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
    /// HTTP for callers.
    pub callers: SocketAddr,
    /// HTTP for the balancer in front, which asks whether to send callers here.
    pub ready: SocketAddr,
    /// TCP for other entries that lack news.
    pub peers: SocketAddr,
    /// UDP for the load and news of other entries.
    pub gossip: SocketAddr,
    /// HTTP for operators: metrics.
    pub operators: SocketAddr,
}

/// Bounds that all entries of a fleet keep together.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Entries that are reckoned with before others were heard of.
    #[serde(default = "default_entries")]
    pub entries: usize,
    /// Repeats for each request of a service.
    pub retry_ratio: f64,
    /// Repeats of a service beside those.
    pub retry_extra: f64,
    /// Span over which repeats are counted.
    #[serde_as(as = "unit::Span")]
    pub retry_window: Duration,
    /// Factor by which a cold endpoint's rate may be exceeded.
    pub cold_overshoot: f64,
    /// Requests a second that a cold endpoint bears beside that.
    pub cold_slack: f64,
    /// Time from the signal to stop until the process is killed.
    #[serde_as(as = "unit::Span")]
    pub grace: Duration,
}

/// A fleet of the smallest kind has a few entries in each of three zones.
const fn default_entries() -> usize {
    8
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
