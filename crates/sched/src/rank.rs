use std::collections::{BTreeSet, HashMap};

use conf::id;
use fleet::Configuration;

/// Importance of a request; a smaller one comes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank {
    /// Priority of the team, or that of the route if the team has none; compared first.
    team: u8,
    route: u8,
}

impl Rank {
    /// Creates the rank of a request from the priority of its team, if any, and that of its route.
    #[must_use]
    pub fn new(team_priority: Option<u8>, route_priority: u8) -> Self {
        Self {
            team: team_priority.unwrap_or(route_priority),
            route: route_priority,
        }
    }
}

/// Levels of the ranks that occur for each service, from one configuration.
#[derive(Clone, Debug, Default)]
pub struct Ranks {
    /// Ranks by service, in ascending order.
    services: HashMap<id::Service, Vec<Rank>>,
}

impl Ranks {
    /// Numbers the ranks that requests can have under a configuration.
    #[must_use]
    pub fn new(configuration: &Configuration) -> Self {
        let teams = configuration.teams.values();
        let team_priorities: BTreeSet<_> = teams.map(|team| team.priority).collect();
        let mut services: HashMap<id::Service, BTreeSet<Rank>> = HashMap::new();
        for route in &configuration.routes {
            // Requests without a key have no team.
            let is_keyed = configuration.keys_required && !route.public;
            for service in route.receivers() {
                let ranks = services.entry(service.clone()).or_default();
                if is_keyed {
                    let priorities = team_priorities.iter();
                    ranks.extend(priorities.map(|team| Rank::new(*team, route.priority)));
                } else {
                    ranks.insert(Rank::new(None, route.priority));
                }
            }
        }
        let sorted = services
            .into_iter()
            .map(|(service, ranks)| (service, ranks.into_iter().collect()));
        Self {
            services: sorted.collect(),
        }
    }

    /// Returns the level of a request, from 0 (highest) to `levels - 1`.
    ///
    /// A rank that does not occur has the level of the next one that does.
    #[must_use]
    pub fn level(&self, service: &str, team_priority: Option<u8>, route_priority: u8) -> u8 {
        let rank = Rank::new(team_priority, route_priority);
        let ranks = self.services.get(service);
        let above = ranks.map_or(0, |ranks| ranks.partition_point(|other| *other < rank));
        to_u8(above).min(self.levels(service) - 1)
    }

    /// Returns the number of levels of a service, at least 1.
    #[must_use]
    pub fn levels(&self, service: &str) -> u8 {
        to_u8(self.services.get(service).map_or(1, Vec::len)).max(1)
    }
}

fn to_u8(count: usize) -> u8 {
    u8::try_from(count).unwrap_or(u8::MAX)
}
