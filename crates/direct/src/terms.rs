use std::{collections::HashMap, sync::Arc, time::Duration};

use conf::id;
use fleet::Configuration;
use sched::Ranks;

/// What a configuration states for the decisions under load, in a form that is fast to look up.
pub(crate) struct Terms {
    configuration: Arc<Configuration>,
    ranks: Ranks,
    /// Smallest gap target of the routes of each service.
    gap_targets: HashMap<id::Service, Duration>,
}

impl Terms {
    /// Collects the terms of a configuration.
    pub(crate) fn new(configuration: &Arc<Configuration>) -> Self {
        let mut gap_targets = HashMap::new();
        for route in &configuration.routes {
            let Some(target) = route.gap_target else {
                continue;
            };
            for service in route.receivers() {
                let lowest = gap_targets.entry(service.clone()).or_insert(target);
                *lowest = target.min(*lowest);
            }
        }
        Self {
            configuration: configuration.clone(),
            ranks: Ranks::new(configuration),
            gap_targets,
        }
    }

    /// Returns the terms of a configuration, which are collected again only if it is not that of `slot`.
    ///
    /// Configurations are compared by pointer: a version may occur twice after the store was restored.
    pub(crate) fn update<'a>(
        slot: &'a mut Option<Self>,
        configuration: &Arc<Configuration>,
    ) -> &'a Self {
        slot.take_if(|terms| !Arc::ptr_eq(&terms.configuration, configuration));
        slot.get_or_insert_with(|| Self::new(configuration))
    }

    /// Returns the levels of requests.
    pub(crate) const fn ranks(&self) -> &Ranks {
        &self.ranks
    }

    /// Returns the smallest gap target of a service's routes, if any states one.
    pub(crate) fn gap_target(&self, service: &str) -> Option<Duration> {
        self.gap_targets.get(service).copied()
    }
}
