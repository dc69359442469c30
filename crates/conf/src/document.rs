use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use smol_str::SmolStr;

use crate::{Digest, id, unit};

/// Schema number of [`Document`] that this build understands.
pub const SCHEMA: u32 = 1;

/// Holds what the operators declare: the whole of one version of the configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Schema of the document, [`SCHEMA`].
    pub schema: u32,
    /// Availability zones.
    pub zones: BTreeMap<id::Zone, Zone>,
    /// Services that callers reach.
    pub services: BTreeMap<id::Service, Service>,
    /// Lock-step groups of ranks.
    #[serde(default)]
    pub groups: BTreeMap<id::Group, Group>,
    /// Endpoints, each on a VM with one agent.
    pub endpoints: BTreeMap<id::Endpoint, Endpoint>,
    /// Teams of callers.
    pub teams: BTreeMap<id::Team, Team>,
    /// Bounds and times that hold for the whole fleet.
    #[serde(default)]
    pub policy: Policy,
}

/// Describes an availability zone.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Region that the zone lies in.
    pub region: id::Region,
    /// Whether the zone takes new work.
    #[serde(default)]
    pub state: ZoneState,
}

/// Says whether an availability zone takes new work.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ZoneState {
    /// The zone is in service.
    #[default]
    In,
    /// Operators have taken the zone out of service.
    Out,
}

/// Describes a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// What stands behind the service.
    pub kind: ServiceKind,
    /// Routes that lead to the service.
    pub routes: Vec<Route>,
}

/// Says what stands behind a service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// Model engines in lock-step groups.
    Group,
    /// Plain request-response endpoints.
    Plain,
}

/// Matches requests and says how they may be treated.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Method that matches, or any if absent.
    #[serde(default)]
    pub method: Option<SmolStr>,
    /// Prefix of the path that matches; the longest match wins.
    pub path: SmolStr,
    /// Whether a request may be run more than once.
    pub repeatable: bool,
    /// Priority under overload.
    #[serde(default)]
    pub priority: Priority,
}

/// Orders requests under overload; the first is served first.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Served before all else.
    High,
    /// Served in the ordinary order.
    #[default]
    Normal,
    /// Shed first.
    Low,
}

/// Describes a lock-step group of ranks.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Service that the group belongs to.
    pub service: id::Service,
    /// Number of ranks.
    pub ranks: u16,
    /// Number of layers with experts.
    pub layers: u16,
    /// Number of experts in a layer.
    pub experts: u16,
    /// Number of expert slots of a rank in a layer.
    pub slots: u16,
    /// Whether the engines refuse orders with an old fencing number.
    #[serde(default)]
    pub fenced: bool,
    /// Time between two plans of the expert map.
    #[serde(default = "default_rebalance")]
    #[serde_as(as = "unit::Span")]
    pub rebalance: Duration,
}

const fn default_rebalance() -> Duration {
    Duration::from_secs(300)
}

/// Describes an endpoint.
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
    /// Whether the endpoint is leaving and takes no new work.
    #[serde(default)]
    pub leaving: bool,
    /// Requests in flight that the endpoint can bear.
    pub limit: Limit,
}

/// Bounds the requests in flight at an endpoint.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    /// Bound just after a start.
    pub cold: u32,
    /// Bound in steady state.
    pub full: u32,
}

/// Describes a team of callers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// SHA-256 digests of the team's keys.
    pub keys: Vec<Digest>,
    /// Share under overload, relative to other teams.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Requests a second over the whole fleet, unbounded if absent.
    #[serde(default)]
    pub rate: Option<u32>,
}

const fn default_weight() -> u32 {
    1
}

/// Holds bounds and times for the whole fleet.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// Longest time from the arrival of a request to the end of its answer.
    #[serde_as(as = "unit::Span")]
    pub deadline: Duration,
    /// Time for which callers may repeat a request under one idempotency key.
    #[serde_as(as = "unit::Span")]
    pub retry_horizon: Duration,
    /// Largest request body.
    #[serde_as(as = "unit::Size")]
    pub body_limit: u64,
    /// Retries allowed as a share of fresh requests, in percent.
    pub retry_percent: u32,
    /// Longest time that an admitted request may wait in an agent's queue.
    #[serde_as(as = "unit::Span")]
    pub queue_time: Duration,
    /// Token gap after which a stream counts as stalled.
    #[serde_as(as = "unit::Span")]
    pub stall: Duration,
    /// Run records that an agent keeps at most.
    pub records: u32,
    /// Time after a sign of a restart for which the cold bound holds, whatever work has ended.
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
