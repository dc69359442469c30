use std::{collections::BTreeMap, sync::Arc, time::Duration};

use conf::id;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Says what may be done again for a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// May run more than once.
    Allowed,
    /// Runs once at most.
    Forbidden,
    /// Answers with events; another endpoint may go on after the last event that was delivered.
    Resumable,
}

/// One of the services that a route's requests are split over.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Split {
    /// Service.
    pub service: id::Service,
    /// Share relative to the others.
    pub weight: u32,
}

/// Says where requests of one host and path prefix go and how they are treated.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Name.
    pub name: SmolStr,
    /// Host in lower case, without port.
    pub host: SmolStr,
    /// Prefix of the path; begins and ends with a slash.
    pub prefix: SmolStr,
    /// Services, with a weight each.
    pub split: Vec<Split>,
    /// What may be repeated.
    pub repeat: Repeat,
    /// Whether the answer is a stream of events.
    pub stream: bool,
    /// Longest time for which a request may be kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is on time (streams: the first event).
    #[serde(rename = "target")]
    pub latency_target: Duration,
    /// Time without an event after which the caller of a stream leaves; `None` if it waits as long as for
    /// a plain answer.
    #[serde(default, rename = "patience")]
    pub event_timeout: Option<Duration>,
    /// Most endpoints that one request may be sent to.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// Rank among routes; 0 comes first.
    pub priority: u8,
    /// Whether requests need no team key.
    pub public: bool,
}

/// Speeds and sizes of the model engines of a service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Engine {
    /// Time of one token step of an engine without work.
    #[serde(rename = "step")]
    pub step_time: Duration,
    /// What each writing request adds to a step.
    #[serde(rename = "step_per_request")]
    pub step_time_per_request: Duration,
    /// Token steps in one pass.
    #[serde(rename = "stride")]
    pub steps_per_pass: u32,
    /// Prompt tokens that are read in a second.
    #[serde(rename = "read_rate")]
    pub prompt_rate: f64,
    /// Experts of one set of layers that a rank can hold.
    #[serde(rename = "places")]
    pub expert_slots: usize,
    /// Experts of one set of layers that a rank can take on in one change of the map.
    #[serde(rename = "fresh")]
    pub max_new_experts: usize,
    /// Time in which a rank copies one expert.
    pub copy_time: Duration,
    /// Time that a group takes to form again once all its ranks are back.
    #[serde(rename = "form")]
    pub form_time: Duration,
}

/// Describes a service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Service {
    /// Connections that one endpoint accepts from all callers together.
    #[serde(rename = "connections")]
    pub max_connections: u32,
    /// Time for which an endpoint is cold after its start.
    #[serde(rename = "cold")]
    pub cold_time: Duration,
    /// Requests in a second that a cold endpoint bears; 0 if it has no cold start.
    pub cold_rate: f64,
    /// Present if the endpoints are model engines.
    pub engine: Option<Engine>,
}

/// Bounds on what callers may send.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Limits {
    /// Largest head of a request in bytes.
    #[serde(rename = "head")]
    pub max_header_bytes: usize,
    /// Largest body in bytes.
    #[serde(rename = "body")]
    pub max_body_bytes: usize,
    /// Time in which the head must arrive.
    #[serde(rename = "head_time")]
    pub header_timeout: Duration,
    /// Time for which a connection may stay idle.
    #[serde(rename = "idle_time")]
    pub idle_timeout: Duration,
}

/// Describes a team.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Team {
    /// Name.
    pub name: id::Team,
    /// Rank that goes before that of the route; 0 comes first.
    pub priority: Option<u8>,
}

/// The operators' configuration, one version of it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Configuration {
    /// Number of the version.
    pub version: u64,
    /// Routes in no order.
    pub routes: Vec<Arc<Route>>,
    /// Services by name.
    pub services: BTreeMap<id::Service, Service>,
    /// Teams by key.
    pub teams: BTreeMap<SmolStr, Team>,
    /// Whether requests need a team key at all.
    #[serde(rename = "keyed")]
    pub keys_required: bool,
    /// Bounds on what callers may send.
    pub limits: Limits,
}

impl Configuration {
    /// Returns the route of a host with the longest prefix that begins the path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let matching = self.routes.iter().filter(|route| {
            route.host.eq_ignore_ascii_case(host) && path.starts_with(route.prefix.as_str())
        });
        matching.max_by_key(|route| route.prefix.len())
    }
}
