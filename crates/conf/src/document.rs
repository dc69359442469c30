use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use smol_str::SmolStr;

use crate::{Digest, id, unit};

/// Schema number of [`Document`] that this build supports.
pub const SCHEMA: u32 = 1;

/// Complete content of one version of the configuration, as operators declare it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Schema number of the document; must be [`SCHEMA`].
    pub schema: u32,
    /// Availability zones by name.
    pub zones: BTreeMap<id::Zone, Zone>,
    /// Services by name.
    pub services: BTreeMap<id::Service, Service>,
    /// Lock-step groups of ranks by name.
    #[serde(default)]
    pub groups: BTreeMap<id::Group, Group>,
    /// Endpoints by name, each on a VM with one agent.
    pub endpoints: BTreeMap<id::Endpoint, Endpoint>,
    /// Teams of clients by name.
    pub teams: BTreeMap<id::Team, Team>,
    /// Limits and timeouts for the whole fleet.
    #[serde(default)]
    pub policy: Policy,
}

/// Availability zone.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Region of the zone.
    pub region: id::Region,
    /// Whether the zone takes new work.
    #[serde(default)]
    pub state: ZoneState,
}

/// State of an availability zone.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ZoneState {
    /// The zone is in service and takes new work.
    #[default]
    In,
    /// Operators took the zone out of service; it takes no new work.
    Out,
}

/// Service that clients can address.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Kind of back end.
    pub kind: ServiceKind,
    /// Routes to the service.
    pub routes: Vec<Route>,
}

/// Kind of a service's back end.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// Model engines in lock-step groups.
    Group,
    /// Plain request-response endpoints.
    Plain,
}

/// Rule that matches requests to a service, with their treatment.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// HTTP method that matches; any method if absent.
    #[serde(default)]
    pub method: Option<SmolStr>,
    /// Path prefix that matches; the longest match wins.
    pub path: SmolStr,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Priority under overload.
    #[serde(default)]
    pub priority: Priority,
}

/// Priority of requests under overload, the highest first.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Served before all other requests.
    High,
    /// Served after high priority and before low.
    #[default]
    Normal,
    /// Rejected first under overload.
    Low,
}

/// Lock-step group of ranks that run one model.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Service that the group belongs to.
    pub service: id::Service,
    /// Number of ranks.
    pub ranks: u16,
    /// Number of model layers with experts.
    pub layers: u16,
    /// Number of experts per layer.
    pub experts: u16,
    /// Number of expert slots per rank and layer.
    pub slots: u16,
    /// Whether the engines reject commands with an outdated fencing token.
    #[serde(default)]
    pub fenced: bool,
    /// Time between two runs of the planner of the expert map.
    #[serde(default = "default_rebalance")]
    #[serde_as(as = "unit::Span")]
    pub rebalance: Duration,
}

const fn default_rebalance() -> Duration {
    Duration::from_secs(300)
}

/// Endpoint of a service, on a VM with one agent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Availability zone of the endpoint's VM.
    pub zone: id::Zone,
    /// Service that the endpoint runs.
    pub service: id::Service,
    /// Address of the agent on the endpoint's VM.
    pub agent: SocketAddr,
    /// Group that the endpoint's ranks belong to.
    #[serde(default)]
    pub group: Option<id::Group>,
    /// Ranks of the group that run on the endpoint's VM.
    #[serde(default)]
    pub ranks: Vec<id::Rank>,
    /// Whether the endpoint is being removed from service and takes no new work.
    #[serde(default)]
    pub leaving: bool,
    /// Maximum number of requests in flight.
    pub limit: Limit,
}

/// Maximum number of requests in flight at an endpoint.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    /// Limit during cold start.
    pub cold: u32,
    /// Limit after cold start.
    pub full: u32,
}

/// Team of clients that share keys, a weight and a rate.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// SHA-256 digests of the team's keys.
    pub keys: Vec<Digest>,
    /// Share of the capacity under overload, relative to the weights of other teams.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Maximum requests per second over the whole fleet; unlimited if absent.
    #[serde(default)]
    pub rate: Option<u32>,
}

const fn default_weight() -> u32 {
    1
}

/// Limits and timeouts for the whole fleet.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// Maximum time from the arrival of a request to the end of its response.
    #[serde_as(as = "unit::Span")]
    pub deadline: Duration,
    /// Time for which clients may retry a request with the same idempotency key.
    #[serde_as(as = "unit::Span")]
    pub retry_horizon: Duration,
    /// Maximum size of a request body in bytes.
    #[serde_as(as = "unit::Size")]
    pub body_limit: u64,
    /// Maximum number of retries, in percent of first attempts.
    pub retry_percent: u32,
    /// Maximum time that a request may wait in an agent's queue.
    #[serde_as(as = "unit::Span")]
    pub queue_time: Duration,
    /// Time between two tokens after which a stream counts as stalled.
    #[serde_as(as = "unit::Span")]
    pub stall: Duration,
    /// Maximum number of run records that an agent keeps.
    pub records: u32,
    /// Time after a detected restart for which the cold limit holds, even if requests have completed.
    #[serde_as(as = "unit::Span")]
    pub warm_up: Duration,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            deadline: Duration::from_secs(120),
            retry_horizon: Duration::from_secs(600),
            body_limit: 16 * 1024 * 1024,
            retry_percent: 10,
            queue_time: Duration::from_millis(300),
            stall: Duration::from_secs(1),
            records: 10_000,
            warm_up: Duration::from_secs(5),
        }
    }
}
