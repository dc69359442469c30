use std::{collections::BTreeMap, sync::Arc, time::Duration};

use conf::id;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// May run more than once.
    Allowed,
    /// Runs at most once.
    Forbidden,
    /// Runs again only to resume its stream after the last event that was delivered.
    Resumable,
}

/// Service that receives a share of a route's requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Split {
    /// Name of the service.
    pub service: id::Service,
    /// Share of the requests, relative to the weights of the route's other services.
    pub weight: u32,
}

/// Rule for the requests of one host and path prefix.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Name of the route, from the configuration.
    pub name: SmolStr,
    /// Host in lower case, without port.
    pub host: SmolStr,
    /// Path prefix, which begins and ends with a slash.
    pub prefix: SmolStr,
    /// Services that receive the requests.
    pub split: Vec<Split>,
    /// Whether a request may run more than once.
    pub repeat: Repeat,
    /// Whether the response is a stream of events.
    pub stream: bool,
    /// Longest time that a client may have to wait for the response.
    pub timeout: Duration,
    /// Target for the time to the response or, for a stream, to its first event.
    #[serde(rename = "target")]
    pub latency_target: Duration,
    /// Time without an event after which clients abandon a stream; `None` if only `timeout` applies.
    #[serde(default, rename = "patience")]
    pub event_timeout: Option<Duration>,
    /// Longest pause between two events of a stream for which its response is on time; `None` if the route
    /// states none.
    #[serde(default)]
    pub gap_target: Option<Duration>,
    /// Maximum number of endpoints that one request may be sent to.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Whether requests are accepted without a team key.
    pub public: bool,
}

impl Route {
    /// Lists the services that get requests of the route.
    ///
    /// These are the ones with a weight above 0; if there are none, the last one gets all requests.
    pub fn receivers(&self) -> impl Iterator<Item = &id::Service> {
        let is_weighted = self.split.iter().any(|split| split.weight > 0);
        let last = self.split.len().saturating_sub(1);
        let splits = self.split.iter().enumerate();
        splits
            .filter(move |(index, split)| split.weight > 0 || !is_weighted && *index == last)
            .map(|(_, split)| &split.service)
    }
}

/// Performance and capacity of the model engines of a service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Engine {
    /// Base time of one token step of an idle engine.
    #[serde(rename = "step")]
    pub step_time: Duration,
    /// Time that each request in its generation phase adds to a step.
    #[serde(rename = "step_per_request")]
    pub step_time_per_request: Duration,
    /// Token steps in one pass.
    #[serde(rename = "stride")]
    pub steps_per_pass: u32,
    /// Prompt tokens processed per second.
    #[serde(rename = "read_rate")]
    pub prompt_rate: f64,
    /// Maximum number of experts of one set of layers on a rank.
    #[serde(rename = "places")]
    pub expert_slots: usize,
    /// Maximum number of experts of one set of layers that a rank can load in one change of the
    /// expert map.
    #[serde(rename = "fresh")]
    pub max_new_experts: usize,
    /// Time that a rank needs to copy one expert.
    pub copy_time: Duration,
    /// Time that a group needs to re-form once all its ranks have restarted.
    #[serde(rename = "form")]
    pub form_time: Duration,
    /// Delays between availability zones; a pair is listed in one direction.
    #[serde(default)]
    pub zone_delays: Vec<ZoneDelay>,
}

/// Delay of the network between two availability zones.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ZoneDelay {
    /// One of the zones.
    pub from: id::Zone,
    /// The other zone.
    pub to: id::Zone,
    /// Time that a packet takes one way.
    pub delay: Duration,
}

/// Capacity and start-up behaviour of a service's endpoints.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Service {
    /// Maximum number of connections that one endpoint accepts, over all clients.
    #[serde(rename = "connections")]
    pub max_connections: u32,
    /// Duration of an endpoint's cold start.
    #[serde(rename = "cold")]
    pub cold_time: Duration,
    /// Requests per second that an endpoint can take during its cold start; 0 if the rate is not limited.
    pub cold_rate: f64,
    /// Present if the endpoints are model engines.
    pub engine: Option<Engine>,
}

/// Limits on client connections and requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Limits {
    /// Maximum size of a request's header section in bytes.
    #[serde(rename = "head")]
    pub max_header_bytes: usize,
    /// Maximum size of a request body in bytes.
    #[serde(rename = "body")]
    pub max_body_bytes: usize,
    /// Time within which the header section must arrive.
    #[serde(rename = "head_time")]
    pub header_timeout: Duration,
    /// Time after which an idle connection is closed.
    #[serde(rename = "idle_time")]
    pub idle_timeout: Duration,
}

/// Team that holds a key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Team {
    /// Name of the team.
    pub name: id::Team,
    /// Priority that overrides that of the route; 0 is the highest.
    pub priority: Option<u8>,
}

/// One version of the operators' configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Configuration {
    /// Version number; larger is newer.
    pub version: u64,
    /// Routes, in arbitrary order.
    pub routes: Vec<Arc<Route>>,
    /// Services by name.
    pub services: BTreeMap<id::Service, Service>,
    /// Teams by team key.
    pub teams: BTreeMap<SmolStr, Team>,
    /// Whether routes that are not public require a team key.
    #[serde(rename = "keyed")]
    pub keys_required: bool,
    /// Limits on client connections and requests.
    pub limits: Limits,
}

impl Configuration {
    /// Returns the route of a host with the longest prefix that matches the path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let matching = self.routes.iter().filter(|route| {
            route.host.eq_ignore_ascii_case(host) && path.starts_with(route.prefix.as_str())
        });
        matching.max_by_key(|route| route.prefix.len())
    }

    /// Returns the smallest gap target of the routes that send requests to a service, if any states one.
    #[must_use]
    pub fn gap_target(&self, service: &str) -> Option<Duration> {
        let uses = |route: &&Arc<Route>| route.receivers().any(|receiver| receiver == service);
        let routes = self.routes.iter().filter(uses);
        routes.filter_map(|route| route.gap_target).min()
    }

    /// Returns the delay of the network between two zones, one way, if a service states it.
    #[must_use]
    pub fn zone_delay(&self, from: &str, to: &str) -> Option<Duration> {
        let engines = self.services.values().filter_map(|s| s.engine.as_ref());
        let mut delays = engines.flat_map(|engine| &engine.zone_delays);
        let found = delays.find(|delay| {
            let (a, b) = (delay.from.as_str(), delay.to.as_str());
            (a, b) == (from, to) || (a, b) == (to, from)
        });
        found.map(|delay| delay.delay)
    }
}
