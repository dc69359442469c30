//! Check of a configuration before it is sent: what has no effect, what contradicts itself, and what
//! differs from another version.

use std::{
    collections::{BTreeSet, HashMap},
    fmt,
    time::Duration,
};

use conf::{TeamKey, id};
use serde::{Deserialize as _, Serialize};
use serde_json::{Map, Value, json};

use crate::{Configuration, Route};

/// Largest value of a priority, which is the lowest priority.
const MAX_PRIORITY: u8 = 9;

/// Kind of a finding.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// The document cannot be decoded, so entries ignore it.
    Undecodable,
    /// Another route has the same host and prefix and gets all requests.
    HiddenRoute,
    /// No request can match the route.
    UnmatchableRoute,
    /// The route sends its requests to no service.
    EmptyRoute,
    /// The route sends requests to a service that does not exist.
    UnknownService,
    /// All weights of the route are 0.
    ZeroWeights,
    /// No route sends requests to the service.
    UnusedService,
    /// The service is declared more than once.
    RepeatedService,
    /// The timeout is below the target for the time to the response.
    ShortTimeout,
    /// The target for the time between two events exceeds the timeout.
    LongGap,
    /// A request may be sent to no endpoint.
    NoAttempts,
    /// The priority is above 9.
    Priority,
    /// Two teams hold the same API key.
    SharedKey,
}

/// Part of a configuration that has no effect or contradicts another.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Finding {
    /// Place in the document, such as `routes[3] "orders"`.
    pub place: String,
    /// Kind of the finding.
    pub kind: Kind,
    /// What was found.
    pub text: String,
    /// Change that removes the finding.
    pub remedy: String,
}

impl Finding {
    /// Creates a finding.
    #[must_use]
    pub fn new(
        place: impl Into<String>,
        kind: Kind,
        text: impl Into<String>,
        remedy: &str,
    ) -> Self {
        Self {
            place: place.into(),
            kind,
            text: text.into(),
            remedy: remedy.to_owned(),
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; {}", self.place, self.text, self.remedy)
    }
}

/// Returns all findings in a configuration: those of its routes, services and teams, in this order.
#[must_use]
pub fn find(configuration: &Configuration) -> Vec<Finding> {
    let mut findings = Vec::new();
    check_matches(&configuration.routes, &mut findings);
    for (index, route) in configuration.routes.iter().enumerate() {
        check_services(configuration, &place(index, route), route, &mut findings);
        check_limits(&place(index, route), route, &mut findings);
    }
    let used: BTreeSet<&id::Service> = configuration
        .routes
        .iter()
        .flat_map(|route| route.split.iter().map(|split| &split.service))
        .collect();
    for name in configuration
        .services
        .keys()
        .filter(|name| !used.contains(name))
    {
        let text = "no route sends requests to the service";
        let remedy = "add a route, or remove the service";
        let place = format!("services.{name}");
        findings.push(Finding::new(place, Kind::UnusedService, text, remedy));
    }
    // A team has one entry for each of its keys.
    let teams: BTreeSet<(&id::Team, u8)> = configuration
        .teams
        .values()
        .filter_map(|team| Some((&team.name, team.priority?)))
        .collect();
    for (name, priority) in teams {
        check_priority(&format!("teams.{name}"), priority, &mut findings);
    }
    findings
}

fn place(index: usize, route: &Route) -> String {
    format!("routes[{index}] \"{}\"", route.name)
}

/// Finds routes that get no request.
fn check_matches<R: AsRef<Route>>(routes: &[R], findings: &mut Vec<Finding>) {
    // Of routes with the same host and prefix, the last one gets the requests.
    let winners: HashMap<_, usize> = routes
        .iter()
        .enumerate()
        .map(|(index, route)| (key(route.as_ref()), index))
        .collect();
    for (index, route) in routes.iter().enumerate() {
        let route = route.as_ref();
        let winner = winners[&key(route)];
        if winner != index {
            let other = place(winner, routes[winner].as_ref());
            let text = format!("{other} has the same host and prefix and gets all requests");
            let remedy = "remove one of them, or change its prefix";
            findings.push(Finding::new(
                place(index, route),
                Kind::HiddenRoute,
                text,
                remedy,
            ));
        }
        let is_path = route.prefix.is_empty() || route.prefix.starts_with('/');
        if !is_path || route.prefix.contains(['?', '#']) {
            let text = format!("the path of no request begins with `{}`", route.prefix);
            let remedy = "write a path that begins with `/`, without query";
            findings.push(Finding::new(
                place(index, route),
                Kind::UnmatchableRoute,
                text,
                remedy,
            ));
        }
    }
}

fn key(route: &Route) -> (String, &str) {
    (route.host.to_ascii_lowercase(), &route.prefix)
}

fn check_services(
    configuration: &Configuration,
    place: &str,
    route: &Route,
    findings: &mut Vec<Finding>,
) {
    if route.split.is_empty() {
        let text = "the route names no service";
        findings.push(Finding::new(
            place,
            Kind::EmptyRoute,
            text,
            "name a service",
        ));
    } else if route.split.iter().all(|split| split.weight == 0) {
        let text = "all weights are 0";
        let remedy = "give one service a weight above 0";
        findings.push(Finding::new(place, Kind::ZeroWeights, text, remedy));
    }
    for split in &route.split {
        if !configuration.services.contains_key(&split.service) {
            let text = format!("service `{}` does not exist", split.service);
            let remedy = "declare the service, or name one that exists";
            findings.push(Finding::new(place, Kind::UnknownService, text, remedy));
        }
    }
}

fn check_limits(place: &str, route: &Route, findings: &mut Vec<Finding>) {
    let (timeout, target) = (route.timeout, route.latency_target);
    if timeout < target {
        let text = format!("the timeout, {timeout:?}, is below the latency target, {target:?}");
        let remedy = "raise the timeout, or lower the target";
        findings.push(Finding::new(place, Kind::ShortTimeout, text, remedy));
    }
    if let Some(gap) = route.gap_target.filter(|gap| *gap > timeout) {
        let text = format!("the gap target, {gap:?}, is above the timeout, {timeout:?}");
        let remedy = "raise the timeout, or lower the gap target";
        findings.push(Finding::new(place, Kind::LongGap, text, remedy));
    }
    if route.max_attempts == 0 {
        findings.push(no_attempts(place));
    }
    check_priority(place, route.priority, findings);
}

/// Returns the finding for a route that permits no attempt.
#[must_use]
pub fn no_attempts(place: &str) -> Finding {
    let text = "the maximum number of attempts is 0, which entries take as 1";
    Finding::new(place, Kind::NoAttempts, text, "write 1 or more")
}

fn check_priority(place: &str, priority: u8, findings: &mut Vec<Finding>) {
    if priority > MAX_PRIORITY {
        let text = format!("priority {priority} is above 9, which entries take as 9");
        findings.push(Finding::new(place, Kind::Priority, text, "write 0 to 9"));
    }
}

/// Returns the merge patch between the readable forms of two configurations; empty if they are equal.
#[must_use]
pub fn difference(old: &Configuration, new: &Configuration) -> Value {
    conf::difference(&readable(old), &readable(new)).unwrap_or_else(|| json!({}))
}

/// Returns a configuration as JSON with routes by name, times as text and API keys as digests.
#[must_use]
pub fn readable(configuration: &Configuration) -> Value {
    let mut routes = Map::new();
    for (index, route) in configuration.routes.iter().enumerate() {
        let name = match routes.contains_key(route.name.as_str()) {
            true => format!("{}[{index}]", route.name),
            false => route.name.to_string(),
        };
        routes.insert(name, json!(**route));
    }
    let mut teams = Map::new();
    for (key, team) in &configuration.teams {
        let keys = teams.entry(team.name.as_str()).or_insert_with(|| json!({}));
        keys[format!("{:?}", TeamKey::new(key).digest())] = json!({ "priority": team.priority });
    }
    let mut value = json!({
        "version": configuration.version,
        "routes": routes,
        "services": configuration.services,
        "teams": teams,
        "keys_required": configuration.keys_required,
        "limits": configuration.limits,
    });
    write_times(&mut value);
    value
}

/// Replaces durations, which are serialized as seconds and nanoseconds, by text such as `1.5s`.
fn write_times(value: &mut Value) {
    if value.is_object()
        && let Ok(time) = Duration::deserialize(&*value)
    {
        *value = json!(format!("{time:?}"));
        return;
    }
    match value {
        Value::Object(fields) => fields.values_mut().for_each(write_times),
        Value::Array(items) => items.iter_mut().for_each(write_times),
        _ => {}
    }
}
