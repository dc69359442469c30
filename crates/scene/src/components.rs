use conf::{Document, id};
use gate::Policy as Gate;
use once::Ledger;
use route::Policy as Route;
use tokio::time::Instant;
use wire::Key;

/// Constructors and functions of the decision code that a simulation runs.
///
/// The default is the code that the binaries use. A test may replace one component to show that a
/// scenario fails without the rule that it tests.
pub struct Components {
    /// Creates the routing policy of an entry, from its zone, its incarnation and the time.
    pub route: fn(&id::Zone, id::Incarnation, Instant) -> Box<dyn Route>,
    /// Creates the admission policy of an endpoint's agent.
    pub gate: fn(&id::Endpoint, id::Incarnation, Instant) -> Box<dyn Gate>,
    /// Creates the run records of an endpoint's agent.
    pub ledger: fn(&id::Endpoint, id::Incarnation, Instant) -> Box<dyn Ledger>,
    /// Returns the endpoint of a service that owns a key chosen by a client.
    pub owner: fn(&Document, &id::Service, &Key) -> Option<id::Endpoint>,
}

impl Default for Components {
    fn default() -> Self {
        Self {
            route: |zone, incarnation, now| {
                Box::new(route::Router::new(zone.clone(), incarnation, now))
            },
            gate: |endpoint, incarnation, now| {
                Box::new(gate::Controller::new(endpoint.clone(), incarnation, now))
            },
            ledger: |endpoint, incarnation, now| {
                Box::new(once::Records::new(endpoint.clone(), incarnation, now))
            },
            owner,
        }
    }
}

fn owner(document: &Document, service: &id::Service, key: &Key) -> Option<id::Endpoint> {
    let serves = |(_, endpoint): &(_, &conf::Endpoint)| endpoint.service == *service;
    let names = document.endpoints.iter().filter(serves);
    once::owner(names.map(|(name, _)| name), key).cloned()
}
