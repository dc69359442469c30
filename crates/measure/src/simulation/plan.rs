use std::time::Duration;

use conf::{Document, Limit, Priority};

/// Routing policy of the entries and admission policy of the agents.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Policies {
    /// [`route::Router`] and [`gate::Controller`], which run in production.
    Production,
    /// Round robin without admission control.
    RoundRobin,
    /// Least loaded by the agents' load hints, without admission control.
    LeastLoaded,
}

impl Policies {
    pub(crate) const ALL: [Policies; 3] = [
        Policies::Production,
        Policies::RoundRobin,
        Policies::LeastLoaded,
    ];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Policies::Production => "apricotridge",
            Policies::RoundRobin => "round robin",
            Policies::LeastLoaded => "least loaded",
        }
    }
}

/// Team of clients and its share of all requests.
#[derive(Clone, Debug)]
pub(crate) struct Team {
    pub(crate) name: &'static str,
    pub(crate) share: f64,
}

/// Load that clients offer, in requests per second.
#[derive(Clone, Debug)]
pub(crate) struct Demand {
    /// Rate of requests to the repeatable service `drafts`, which generates tokens.
    pub(crate) drafts: f64,
    /// Share of drafts that have low priority.
    pub(crate) low_share: f64,
    /// Rate of requests to the service `orders`, which are not repeatable.
    pub(crate) orders: f64,
    pub(crate) teams: Vec<Team>,
}

/// Outage of zone `c`; times count from the start of the run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Outage {
    /// When a document that sets the zone to [`conf::ZoneState::Out`] is published.
    pub(crate) zone_out: Duration,
    /// When its engines stop.
    pub(crate) engines_stop: Duration,
    /// When its engines start again, cold.
    pub(crate) engines_start: Duration,
    /// When a document that sets the zone back to [`conf::ZoneState::In`] is published.
    pub(crate) zone_in: Duration,
}

/// Parameters of a run.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    pub(crate) policies: Policies,
    pub(crate) demand: Demand,
    pub(crate) outage: Option<Outage>,
    pub(crate) duration: Duration,
    pub(crate) seed: u64,
}

/// Zones and the number of entries in each.
pub(crate) const ENTRIES_PER_ZONE: [(&str, usize); 3] = [("a", 3), ("b", 2), ("c", 2)];
/// Engines of the service `drafts` in each zone, beside one endpoint of the service `orders`.
pub(crate) const DRAFT_ENGINES_PER_ZONE: usize = 4;
pub(crate) const DRAFT_LIMIT: Limit = Limit { cold: 4, full: 32 };
pub(crate) const ORDER_LIMIT: Limit = Limit { cold: 4, full: 16 };
/// Smallest and largest number of tokens of a draft.
pub(crate) const DRAFT_TOKENS: (u32, u32) = (20, 60);

/// Returns the drafts per second that one engine completes with a batch at its full limit.
///
/// Half of the prefixes are taken to be cached, which makes 3.5 prefill steps on average.
pub(crate) fn engine_capacity() -> f64 {
    let step_seconds = 0.020 + 0.0005 * f64::from(DRAFT_LIMIT.full);
    let steps = f64::from(DRAFT_TOKENS.0 + DRAFT_TOKENS.1) / 2.0 + 3.5;
    f64::from(DRAFT_LIMIT.full) / (steps * step_seconds)
}

impl Plan {
    /// Returns the configuration of the run.
    pub(crate) fn document(&self) -> Document {
        let teams = self.demand.teams.iter();
        let teams: serde_json::Map<_, _> = teams
            .map(|team| (team.name.to_owned(), serde_json::json!({ "keys": [] })))
            .collect();
        let mut document = serde_json::json!({
            "schema": conf::SCHEMA,
            "zones": {},
            "services": {
                "drafts": { "kind": "group", "routes": [{ "path": "/d", "repeatable": true }] },
                "orders": { "kind": "plain", "routes": [{ "path": "/o", "repeatable": false }] },
            },
            "endpoints": {},
            "teams": teams,
            "policy": { "deadline": "10s" },
        });
        for (zone, _) in ENTRIES_PER_ZONE {
            document["zones"][zone] = serde_json::json!({ "region": "r" });
            for i in 0..=DRAFT_ENGINES_PER_ZONE {
                let (service, limit) = if i < DRAFT_ENGINES_PER_ZONE {
                    ("drafts", DRAFT_LIMIT)
                } else {
                    ("orders", ORDER_LIMIT)
                };
                document["endpoints"][format!("{zone}{i}")] = serde_json::json!({
                    "zone": zone, "service": service, "agent": "127.0.0.1:1", "limit": limit,
                });
            }
        }
        serde_json::from_value(document).unwrap_or_else(|e| unreachable!("{e}"))
    }
}

pub(crate) fn priority(orders: bool, low: bool) -> Priority {
    match (orders, low) {
        (true, _) => Priority::High,
        (false, false) => Priority::Normal,
        (false, true) => Priority::Low,
    }
}
