use std::time::Duration;

use conf::{Document, Limit, Priority};

/// Policies that a run drives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Policies {
    /// [`route::Router`] and [`gate::Controller`].
    Own,
    /// Round robin without admission.
    Rotation,
    /// Least loaded by hints alone, without admission.
    LeastLoaded,
}

impl Policies {
    pub(crate) const ALL: [Policies; 3] =
        [Policies::Own, Policies::Rotation, Policies::LeastLoaded];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Policies::Own => "apricotridge",
            Policies::Rotation => "round robin",
            Policies::LeastLoaded => "least loaded",
        }
    }
}

/// Team of callers and its part of the demand for drafts.
#[derive(Clone, Debug)]
pub(crate) struct Team {
    pub(crate) name: &'static str,
    pub(crate) part: f64,
}

/// What callers ask for; rates in requests a second.
#[derive(Clone, Debug)]
pub(crate) struct Demand {
    pub(crate) drafts: f64,
    /// Part of the drafts that has low priority.
    pub(crate) low: f64,
    pub(crate) orders: f64,
    pub(crate) teams: Vec<Team>,
}

/// What happens to zone `c` and when, counted from the start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Outage {
    pub(crate) out: Duration,
    /// When its engines end.
    pub(crate) down: Duration,
    /// When its engines start again, cold.
    pub(crate) up: Duration,
    pub(crate) back: Duration,
}

/// A run.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    pub(crate) policies: Policies,
    pub(crate) demand: Demand,
    pub(crate) outage: Option<Outage>,
    pub(crate) length: Duration,
    pub(crate) seed: u64,
}

/// Zones, and the entries in each.
pub(crate) const ZONES: [(&str, usize); 3] = [("a", 3), ("b", 2), ("c", 2)];
/// Engines in each zone.
pub(crate) const ENGINES: usize = 4;
pub(crate) const DRAFTS: Limit = Limit { cold: 4, full: 32 };
pub(crate) const ORDERS: Limit = Limit { cold: 4, full: 16 };
/// Fewest and most tokens of a draft.
pub(crate) const TOKENS: (u32, u32) = (20, 60);

/// Drafts a second that one engine ends at its full limit, if half the prefixes are cached.
pub(crate) fn capacity() -> f64 {
    let step = 0.020 + 0.0005 * f64::from(DRAFTS.full);
    let steps = f64::from(TOKENS.0 + TOKENS.1) / 2.0 + 3.5;
    f64::from(DRAFTS.full) / (steps * step)
}

impl Plan {
    /// Returns the configuration of the run.
    pub(crate) fn document(&self) -> Document {
        let teams = self.demand.teams.iter();
        let teams: serde_json::Map<_, _> = teams
            .map(|team| (team.name.to_owned(), serde_json::json!({ "keys": [] })))
            .collect();
        let mut text = serde_json::json!({
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
        for (zone, _) in ZONES {
            text["zones"][zone] = serde_json::json!({ "region": "r" });
            for i in 0..=ENGINES {
                let (service, limit) = if i < ENGINES {
                    ("drafts", DRAFTS)
                } else {
                    ("orders", ORDERS)
                };
                text["endpoints"][format!("{zone}{i}")] = serde_json::json!({
                    "zone": zone, "service": service, "agent": "127.0.0.1:1", "limit": limit,
                });
            }
        }
        serde_json::from_value(text).unwrap_or_else(|e| unreachable!("{e}"))
    }
}

/// Returns the priority of a request for a service.
pub(crate) fn priority(orders: bool, low: bool) -> Priority {
    match (orders, low) {
        (true, _) => Priority::High,
        (false, false) => Priority::Normal,
        (false, true) => Priority::Low,
    }
}
