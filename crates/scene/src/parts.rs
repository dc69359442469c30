use conf::{Document, id};
use gate::Policy as Gate;
use once::Ledger;
use route::Policy as Route;
use tokio::time::Instant;
use wire::Key;

/// Makes the decision code that a scenario drives.
///
/// The default is what the binaries use; a test may replace one part to see a scenario fail
/// without the rule that it proves.
pub struct Parts {
    /// Makes the routing policy of an entry in a zone.
    pub route: fn(&id::Zone, id::Incarnation, Instant) -> Box<dyn Route>,
    /// Makes the admission policy of an endpoint.
    pub gate: fn(&id::Endpoint, id::Incarnation, Instant) -> Box<dyn Gate>,
    /// Makes the run records of an agent.
    pub ledger: fn(&id::Endpoint, id::Incarnation, Instant) -> Box<dyn Ledger>,
    /// Names the endpoint that owns a caller's own key.
    pub owner: fn(&Document, &id::Service, &Key) -> Option<id::Endpoint>,
}

impl Default for Parts {
    fn default() -> Self {
        Self {
            route: |zone, life, now| Box::new(route::Router::new(zone.clone(), life, now)),
            gate: |endpoint, life, now| {
                Box::new(gate::Controller::new(endpoint.clone(), life, now))
            },
            ledger: |endpoint, life, now| Box::new(once::Records::new(endpoint.clone(), life, now)),
            owner,
        }
    }
}

fn owner(document: &Document, service: &id::Service, key: &Key) -> Option<id::Endpoint> {
    let serves = |(_, endpoint): &(_, &conf::Endpoint)| endpoint.service == *service;
    let names = document.endpoints.iter().filter(serves);
    once::owner(names.map(|(name, _)| name), key).cloned()
}
