use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    fmt::Display,
    time::Duration,
};

use crate::{Document, Endpoint, Group, SCHEMA, Service, ServiceKind, Violation, id};

/// Longest name in bytes.
const NAME_LIMIT: usize = 64;
/// Longest time that the policy may give.
const SPAN_LIMIT: Duration = Duration::from_secs(24 * 60 * 60);
/// Largest request body that the policy may allow, in bytes.
const BODY_LIMIT: u64 = 1024 * 1024 * 1024;
/// Most run records that the policy may ask an agent to keep.
const RECORD_LIMIT: u32 = 10_000_000;

/// Returns every mistake of a document, in the order of its fields; it looks at nothing else.
#[must_use]
pub fn check(document: &Document) -> Vec<Violation> {
    let mut check = Check {
        document,
        mistakes: Vec::new(),
    };
    let (schema, mend) = (document.schema, "write 1");
    check.rule(schema == SCHEMA, "schema", schema, "is not known", mend);
    check.zones();
    check.services();
    check.groups();
    check.endpoints();
    check.ranks();
    check.teams();
    check.policy();
    check.mistakes
}

struct Check<'a> {
    document: &'a Document,
    mistakes: Vec<Violation>,
}

impl Check<'_> {
    /// Notes a mistake unless a rule is kept.
    fn rule(&mut self, kept: bool, path: &str, value: impl Display, rule: &str, mend: &str) {
        if !kept {
            self.mistakes.push(Violation::new(path, value, rule, mend));
        }
    }

    fn name(&mut self, path: &str, name: &str) {
        let plain = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
        let kept = !name.is_empty() && name.len() <= NAME_LIMIT && name.bytes().all(plain);
        let rule = "is not a name of 1 to 64 letters, digits, `-`, `_` or `.`";
        self.rule(kept, path, name, rule, "rename it");
    }

    fn known<T>(&mut self, path: &str, name: &str, all: &BTreeMap<id::Zone, T>, what: &str) {
        let rule = format!("names no {what} of the document");
        let mend = format!("declare it under `{what}s`, or name one that is there");
        self.rule(all.contains_key(name), path, name, &rule, &mend);
    }

    fn zones(&mut self) {
        for (name, zone) in &self.document.zones {
            self.name(&format!("zones.{name}"), name);
            self.name(&format!("zones.{name}.region"), &zone.region);
        }
    }

    fn services(&mut self) {
        let mut seen = HashMap::new();
        for (name, service) in &self.document.services {
            self.name(&format!("services.{name}"), name);
            self.routes(name, service, &mut seen);
        }
    }

    fn routes<'a>(
        &mut self,
        name: &str,
        service: &'a Service,
        seen: &mut HashMap<(Option<&'a str>, &'a str), String>,
    ) {
        for (i, route) in service.routes.iter().enumerate() {
            let path = format!("services.{name}.routes[{i}]");
            let rule = "does not begin with `/`";
            let kept = route.path.starts_with('/');
            self.rule(kept, &format!("{path}.path"), &route.path, rule, "add it");
            if let Some(method) = &route.method {
                let kept = !method.is_empty() && method.bytes().all(|b| b.is_ascii_uppercase());
                let rule = "is not an HTTP method in capitals";
                let mend = "write it as in \"POST\"";
                self.rule(kept, &format!("{path}.method"), method, rule, mend);
            }
            let key = (route.method.as_deref(), route.path.as_str());
            if let Some(other) = seen.insert(key, path.clone()) {
                let rule = format!("is the same route as {other}");
                self.rule(false, &path, &route.path, &rule, "take one of them out");
            }
        }
    }

    fn groups(&mut self) {
        for (name, group) in &self.document.groups {
            let path = format!("groups.{name}");
            self.name(&path, name);
            self.group(&path, group);
            let service = format!("{path}.service");
            self.known(&service, &group.service, &self.document.services, "service");
            let kind = self.document.services.get(&group.service).map(|s| s.kind);
            let rule = "is a plain service, which has no groups";
            let mend = "name a service of kind \"group\"";
            let kept = kind != Some(ServiceKind::Plain);
            self.rule(kept, &service, &group.service, rule, mend);
        }
    }

    fn group(&mut self, path: &str, group: &Group) {
        let counts = [
            ("ranks", group.ranks),
            ("layers", group.layers),
            ("experts", group.experts),
            ("slots", group.slots),
        ];
        for (field, count) in counts {
            let path = format!("{path}.{field}");
            self.rule(count > 0, &path, count, "is zero", "give at least 1");
        }
        let places = u32::from(group.slots) * u32::from(group.ranks);
        let rule = format!(
            "slots on each of {} ranks cannot hold {} experts",
            group.ranks, group.experts
        );
        let mend = "give at least experts / ranks, rounded up";
        let kept = places >= u32::from(group.experts);
        self.rule(kept, &format!("{path}.slots"), group.slots, &rule, mend);
    }

    fn endpoints(&mut self) {
        let mut agents = HashMap::new();
        for (name, endpoint) in &self.document.endpoints {
            let path = format!("endpoints.{name}");
            self.name(&path, name);
            self.endpoint(&path, endpoint);
            let agent = format!("{path}.agent");
            let kept = endpoint.agent.port() != 0;
            self.rule(kept, &agent, endpoint.agent, "has no port", "give its port");
            if let Some(other) = agents.insert(endpoint.agent, name) {
                let rule = format!("is also the agent of endpoint {other}");
                let mend = "give each endpoint its own agent";
                self.rule(false, &agent, endpoint.agent, &rule, mend);
            }
        }
    }

    fn endpoint(&mut self, path: &str, endpoint: &Endpoint) {
        let document = self.document;
        self.known(
            &format!("{path}.zone"),
            &endpoint.zone,
            &document.zones,
            "zone",
        );
        let service = format!("{path}.service");
        self.known(&service, &endpoint.service, &document.services, "service");
        let (cold, full) = (endpoint.limit.cold, endpoint.limit.full);
        let limit = format!("{path}.limit.cold");
        self.rule(cold > 0, &limit, cold, "is zero", "give at least 1");
        let rule = format!("exceeds limit.full, {full}");
        let mend = "lower it, or raise limit.full";
        self.rule(cold <= full, &limit, cold, &rule, mend);
        if let Some(group) = &endpoint.group {
            let path = format!("{path}.group");
            self.known(&path, group, &document.groups, "group");
            let of = document.groups.get(group).map(|g| &g.service);
            let kept = of.is_none_or(|service| *service == endpoint.service);
            let rule = "belongs to another service than the endpoint";
            let mend = "name a group of the endpoint's service";
            self.rule(kept, &path, group, rule, mend);
        } else {
            let kept = endpoint.ranks.is_empty();
            let rule = "has ranks without a group";
            let mend = "name the group, or take the ranks out";
            self.rule(kept, &format!("{path}.ranks"), "", rule, mend);
        }
    }

    fn ranks(&mut self) {
        let mut held = HashMap::new();
        for (name, endpoint) in &self.document.endpoints {
            let Some(group) = &endpoint.group else {
                continue;
            };
            let ranks = self.document.groups.get(group).map_or(0, |g| g.ranks);
            for (i, rank) in endpoint.ranks.iter().enumerate() {
                let path = format!("endpoints.{name}.ranks[{i}]");
                let rule = format!("is no rank of group {group}, which has {ranks}");
                let mend = "ranks count from 0";
                self.rule(*rank < ranks, &path, rank, &rule, mend);
                if let Some(other) = held.insert((group, *rank), name) {
                    let rule = format!("is already at endpoint {other}");
                    let mend = "give each rank to one endpoint, once";
                    self.rule(false, &path, rank, &rule, mend);
                }
            }
        }
    }

    fn teams(&mut self) {
        let mut keys = BTreeSet::new();
        for (name, team) in &self.document.teams {
            let path = format!("teams.{name}");
            self.name(&path, name);
            let weight = format!("{path}.weight");
            let mend = "give at least 1";
            self.rule(team.weight > 0, &weight, team.weight, "is zero", mend);
            let kept = team.rate != Some(0);
            let mend = "give at least 1, or leave it out for no bound";
            self.rule(kept, &format!("{path}.rate"), 0, "is zero", mend);
            for (i, key) in team.keys.iter().enumerate() {
                let path = format!("{path}.keys[{i}]");
                let rule = "is a key that stands twice";
                let mend = "give each team keys of its own";
                self.rule(keys.insert(key), &path, format!("{key:?}"), rule, mend);
            }
        }
    }

    fn policy(&mut self) {
        let policy = &self.document.policy;
        let spans = [
            ("deadline", policy.deadline),
            ("retry_horizon", policy.retry_horizon),
            ("queue_time", policy.queue_time),
            ("warm_up", policy.warm_up),
            ("stall", policy.stall),
        ];
        for (field, span) in spans {
            let zero = ["queue_time", "warm_up"].contains(&field);
            let kept = (zero || !span.is_zero()) && span <= SPAN_LIMIT;
            let value = format!("{span:?}");
            let rule = "is not within 0 to 1 day";
            let mend = "give a time such as \"30s\"";
            self.rule(kept, &format!("policy.{field}"), value, rule, mend);
        }
        let percent = policy.retry_percent;
        let rule = "is not a share in percent";
        let mend = "give 0 to 100";
        self.rule(percent <= 100, "policy.retry_percent", percent, rule, mend);
        let size = policy.body_limit;
        let kept = (1..=BODY_LIMIT).contains(&size);
        let rule = "is not within 1 byte to 1 GiB";
        self.rule(kept, "policy.body_limit", size, rule, "give a size there");
        let records = policy.records;
        let kept = (1..=RECORD_LIMIT).contains(&records);
        let rule = "is not within 1 to 10000000";
        self.rule(kept, "policy.records", records, rule, "give a number there");
    }
}
