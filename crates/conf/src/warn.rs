use std::collections::{BTreeSet, HashMap};

use smol_str::SmolStr;

use crate::{Document, Route, Violation};

/// Returns what is valid in a document but has no effect or contradicts itself.
///
/// Processes accept such a document; [`check`](crate::check) alone decides whether it is valid.
#[must_use]
pub fn warnings(document: &Document) -> Vec<Violation> {
    let mut warnings = Vec::new();
    warn_of_routes(document, &mut warnings);
    warn_of_services(document, &mut warnings);
    for (name, team) in &document.teams {
        if team.keys.is_empty() {
            let rule = "is empty, so that no request can be the team's";
            let path = format!("teams.{name}.keys");
            warnings.push(Violation::new(
                &path,
                "",
                rule,
                "add a key, or remove the team",
            ));
        }
    }
    warn_of_policy(document, &mut warnings);
    warnings
}

/// Warns of routes that no request can match, or of which another route gets all requests.
fn warn_of_routes(document: &Document, warnings: &mut Vec<Violation>) {
    let routes = || {
        document.services.iter().flat_map(|(name, service)| {
            let routes = service.routes.iter().enumerate();
            routes.map(move |(index, route)| (format!("services.{name}.routes[{index}]"), route))
        })
    };
    // Paths that differ in slashes at their end match the same requests, and the longest wins.
    let mut alike: HashMap<&str, Vec<(String, &Route)>> = HashMap::new();
    for (path, route) in routes() {
        let matched = route.path.trim_end_matches('/');
        alike.entry(matched).or_default().push((path, route));
    }
    for (path, route) in routes() {
        let rivals = &alike[route.path.trim_end_matches('/')];
        let winner = rivals.iter().find(|(_, rival)| {
            let wins_method = rival.method.is_none() || rival.method == route.method;
            rival.path.len() > route.path.len() && wins_method
        });
        if let Some((winner, _)) = winner {
            let rule = format!("never matches, since {winner} gets all requests");
            warnings.push(Violation::new(
                &path,
                &route.path,
                &rule,
                "remove one of them",
            ));
        }
        if route.path.contains(['?', '#']) {
            let rule = "never matches, since it contains more than a path";
            warnings.push(Violation::new(&path, &route.path, rule, "remove the query"));
        }
    }
}

fn warn_of_services(document: &Document, warnings: &mut Vec<Violation>) {
    let served: BTreeSet<&SmolStr> = document.endpoints.values().map(|e| &e.service).collect();
    for (name, service) in &document.services {
        let path = format!("services.{name}");
        if service.routes.is_empty() {
            let rule = "is empty, so that no request reaches the service";
            let path = format!("{path}.routes");
            warnings.push(Violation::new(
                &path,
                "",
                rule,
                "add a route, or remove the service",
            ));
        }
        if !served.contains(name) {
            let rule = "has no endpoint, so that its requests are refused";
            warnings.push(Violation::new(&path, "", rule, "declare an endpoint"));
        }
    }
    let formed: BTreeSet<&SmolStr> = document
        .endpoints
        .values()
        .filter_map(|endpoint| endpoint.group.as_ref())
        .collect();
    for name in document.groups.keys().filter(|name| !formed.contains(name)) {
        let rule = "has no endpoint, so that it is never complete";
        let path = format!("groups.{name}");
        warnings.push(Violation::new(
            &path,
            "",
            rule,
            "declare its endpoints, or remove it",
        ));
    }
}

/// Warns of times that contradict the deadline.
fn warn_of_policy(document: &Document, warnings: &mut Vec<Violation>) {
    let policy = &document.policy;
    let deadline = policy.deadline;
    let times = [
        (
            "queue_time",
            policy.queue_time,
            policy.queue_time >= deadline,
            "lower it",
        ),
        ("stall", policy.stall, policy.stall >= deadline, "lower it"),
        (
            "retry_horizon",
            policy.retry_horizon,
            policy.retry_horizon < deadline,
            "raise it",
        ),
    ];
    for (field, time, contradicts, remedy) in times {
        if contradicts {
            let order = if time < deadline {
                "is below"
            } else {
                "is not below"
            };
            let rule = format!("{order} policy.deadline, {deadline:?}");
            let path = format!("policy.{field}");
            let remedy = format!("{remedy}, or change the deadline");
            warnings.push(Violation::new(&path, format!("{time:?}"), &rule, &remedy));
        }
    }
}
