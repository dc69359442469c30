use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    fmt::Display,
    time::Duration,
};

use smol_str::SmolStr;

use crate::{Document, Endpoint, Group, SCHEMA, Service, ServiceKind, Violation};

/// Maximum length of a name in bytes.
const MAX_NAME_BYTES: usize = 64;
/// Maximum of each duration in the policy.
const MAX_DURATION: Duration = Duration::from_secs(24 * 60 * 60);
/// Maximum of the policy's `body_limit`, in bytes.
const MAX_BODY_LIMIT: u64 = 1024 * 1024 * 1024;
/// Maximum of the policy's `records`.
const MAX_RECORDS: u32 = 10_000_000;

/// Returns all violations in a document, in the order of its fields.
///
/// The result depends on the document alone, so every process decides alike.
#[must_use]
pub fn check(document: &Document) -> Vec<Violation> {
    let mut checker = Checker {
        document,
        violations: Vec::new(),
    };
    let (schema, remedy) = (document.schema, "write 1");
    checker.require(
        schema == SCHEMA,
        "schema",
        schema,
        "is not supported",
        remedy,
    );
    checker.check_zones();
    checker.check_services();
    checker.check_groups();
    checker.check_endpoints();
    checker.check_ranks();
    checker.check_teams();
    checker.check_policy();
    checker.violations
}

struct Checker<'a> {
    document: &'a Document,
    violations: Vec<Violation>,
}

impl Checker<'_> {
    /// Adds a violation unless `valid`.
    fn require(&mut self, valid: bool, path: &str, value: impl Display, rule: &str, remedy: &str) {
        if !valid {
            self.violations
                .push(Violation::new(path, value, rule, remedy));
        }
    }

    fn check_name(&mut self, path: &str, name: &str) {
        let allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
        let valid = !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.bytes().all(allowed);
        let rule = "is not a name of 1 to 64 letters, digits, `-`, `_` or `.`";
        self.require(valid, path, name, rule, "rename it");
    }

    /// Checks that a section of the document declares the name that the value at `path` refers to.
    fn check_declared<T>(
        &mut self,
        path: &str,
        name: &str,
        section: &BTreeMap<SmolStr, T>,
        kind: &str,
    ) {
        let rule = format!("names no {kind} of the document");
        let remedy = format!("declare it under `{kind}s`, or name one that is there");
        self.require(section.contains_key(name), path, name, &rule, &remedy);
    }

    fn check_zones(&mut self) {
        for (name, zone) in &self.document.zones {
            self.check_name(&format!("zones.{name}"), name);
            self.check_name(&format!("zones.{name}.region"), &zone.region);
        }
    }

    fn check_services(&mut self) {
        let mut seen = HashMap::new();
        for (name, service) in &self.document.services {
            self.check_name(&format!("services.{name}"), name);
            self.check_routes(name, service, &mut seen);
        }
    }

    fn check_routes<'a>(
        &mut self,
        name: &str,
        service: &'a Service,
        seen: &mut HashMap<(Option<&'a str>, &'a str), String>,
    ) {
        for (i, route) in service.routes.iter().enumerate() {
            let path = format!("services.{name}.routes[{i}]");
            let rule = "does not begin with `/`";
            let valid = route.path.starts_with('/');
            self.require(valid, &format!("{path}.path"), &route.path, rule, "add it");
            if let Some(method) = &route.method {
                let valid = !method.is_empty() && method.bytes().all(|b| b.is_ascii_uppercase());
                let rule = "is not an HTTP method in capitals";
                let remedy = "write it as in \"POST\"";
                self.require(valid, &format!("{path}.method"), method, rule, remedy);
            }
            let key = (route.method.as_deref(), route.path.as_str());
            if let Some(other) = seen.insert(key, path.clone()) {
                let rule = format!("is the same route as {other}");
                self.require(false, &path, &route.path, &rule, "remove one of them");
            }
        }
    }

    fn check_groups(&mut self) {
        for (name, group) in &self.document.groups {
            let path = format!("groups.{name}");
            self.check_name(&path, name);
            self.check_group(&path, group);
            let service = format!("{path}.service");
            self.check_declared(&service, &group.service, &self.document.services, "service");
            let kind = self.document.services.get(&group.service).map(|s| s.kind);
            let rule = "is a plain service, which has no groups";
            let remedy = "name a service of kind \"group\"";
            let valid = kind != Some(ServiceKind::Plain);
            self.require(valid, &service, &group.service, rule, remedy);
        }
    }

    fn check_group(&mut self, path: &str, group: &Group) {
        let counts = [
            ("ranks", group.ranks),
            ("layers", group.layers),
            ("experts", group.experts),
            ("slots", group.slots),
        ];
        for (field, count) in counts {
            let path = format!("{path}.{field}");
            self.require(count > 0, &path, count, "is zero", "give at least 1");
        }
        let total_slots = u32::from(group.slots) * u32::from(group.ranks);
        let rule = format!(
            "slots on each of {} ranks cannot hold {} experts",
            group.ranks, group.experts
        );
        let remedy = "give at least experts / ranks, rounded up";
        let valid = total_slots >= u32::from(group.experts);
        self.require(valid, &format!("{path}.slots"), group.slots, &rule, remedy);
    }

    fn check_endpoints(&mut self) {
        let mut agents = HashMap::new();
        for (name, endpoint) in &self.document.endpoints {
            let path = format!("endpoints.{name}");
            self.check_name(&path, name);
            self.check_endpoint(&path, endpoint);
            let agent = format!("{path}.agent");
            let valid = endpoint.agent.port() != 0;
            self.require(
                valid,
                &agent,
                endpoint.agent,
                "has no port",
                "give its port",
            );
            if let Some(other) = agents.insert(endpoint.agent, name) {
                let rule = format!("is also the agent of endpoint {other}");
                let remedy = "give each endpoint its own agent";
                self.require(false, &agent, endpoint.agent, &rule, remedy);
            }
        }
    }

    fn check_endpoint(&mut self, path: &str, endpoint: &Endpoint) {
        let document = self.document;
        self.check_declared(
            &format!("{path}.zone"),
            &endpoint.zone,
            &document.zones,
            "zone",
        );
        let service = format!("{path}.service");
        self.check_declared(&service, &endpoint.service, &document.services, "service");
        let (cold, full) = (endpoint.limit.cold, endpoint.limit.full);
        let limit = format!("{path}.limit.cold");
        self.require(cold > 0, &limit, cold, "is zero", "give at least 1");
        let rule = format!("exceeds limit.full, {full}");
        let remedy = "lower it, or raise limit.full";
        self.require(cold <= full, &limit, cold, &rule, remedy);
        if let Some(group) = &endpoint.group {
            let path = format!("{path}.group");
            self.check_declared(&path, group, &document.groups, "group");
            let group_service = document.groups.get(group).map(|g| &g.service);
            let valid = group_service.is_none_or(|service| *service == endpoint.service);
            let rule = "belongs to another service than the endpoint";
            let remedy = "name a group of the endpoint's service";
            self.require(valid, &path, group, rule, remedy);
        } else {
            let valid = endpoint.ranks.is_empty();
            let rule = "has ranks without a group";
            let remedy = "name the group, or remove the ranks";
            self.require(valid, &format!("{path}.ranks"), "", rule, remedy);
        }
    }

    fn check_ranks(&mut self) {
        let mut owners = HashMap::new();
        for (name, endpoint) in &self.document.endpoints {
            let Some(group) = &endpoint.group else {
                continue;
            };
            let ranks = self.document.groups.get(group).map_or(0, |g| g.ranks);
            for (i, rank) in endpoint.ranks.iter().enumerate() {
                let path = format!("endpoints.{name}.ranks[{i}]");
                let rule = format!("is no rank of group {group}, which has {ranks}");
                let remedy = "ranks are counted from 0";
                self.require(*rank < ranks, &path, rank, &rule, remedy);
                if let Some(other) = owners.insert((group, *rank), name) {
                    let rule = format!("already runs at endpoint {other}");
                    let remedy = "assign each rank to one endpoint only";
                    self.require(false, &path, rank, &rule, remedy);
                }
            }
        }
    }

    fn check_teams(&mut self) {
        let mut keys = BTreeSet::new();
        for (name, team) in &self.document.teams {
            let path = format!("teams.{name}");
            self.check_name(&path, name);
            let weight = format!("{path}.weight");
            let remedy = "give at least 1";
            self.require(team.weight > 0, &weight, team.weight, "is zero", remedy);
            let valid = team.rate != Some(0);
            let remedy = "give at least 1, or leave it out for no bound";
            self.require(valid, &format!("{path}.rate"), 0, "is zero", remedy);
            for (i, key) in team.keys.iter().enumerate() {
                let path = format!("{path}.keys[{i}]");
                let rule = "is a duplicate key";
                let remedy = "give each team keys of its own";
                self.require(keys.insert(key), &path, format!("{key:?}"), rule, remedy);
            }
        }
    }

    fn check_policy(&mut self) {
        let policy = &self.document.policy;
        let durations = [
            ("deadline", policy.deadline),
            ("retry_horizon", policy.retry_horizon),
            ("queue_time", policy.queue_time),
            ("warm_up", policy.warm_up),
            ("stall", policy.stall),
        ];
        for (field, duration) in durations {
            let may_be_zero = ["queue_time", "warm_up"].contains(&field);
            let valid = (may_be_zero || !duration.is_zero()) && duration <= MAX_DURATION;
            let value = format!("{duration:?}");
            let rule = "is not within 0 to 1 day";
            let remedy = "give a time such as \"30s\"";
            self.require(valid, &format!("policy.{field}"), value, rule, remedy);
        }
        let percent = policy.retry_percent;
        let rule = "is not a share in percent";
        let remedy = "give 0 to 100";
        self.require(
            percent <= 100,
            "policy.retry_percent",
            percent,
            rule,
            remedy,
        );
        let size = policy.body_limit;
        let valid = (1..=MAX_BODY_LIMIT).contains(&size);
        let rule = "is not within 1 byte to 1 GiB";
        self.require(valid, "policy.body_limit", size, rule, "give a size there");
        let records = policy.records;
        let valid = (1..=MAX_RECORDS).contains(&records);
        let rule = "is not within 1 to 10000000";
        self.require(
            valid,
            "policy.records",
            records,
            rule,
            "give a number there",
        );
    }
}
