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
    pub route: fn(&id::Zone, u64, Instant) -> Box<dyn Route>,
    /// Makes the admission policy of an endpoint.
    pub gate: fn(&id::Endpoint, id::Incarnation, Instant) -> Box<dyn Gate>,
    /// Makes the run records of an agent that starts at an instant.
    pub ledger: fn(&id::Endpoint, id::Incarnation, Instant) -> Box<dyn Ledger>,
    /// Names the endpoint that owns a key.
    pub owner: fn(&Document, &id::Service, &Key) -> Option<id::Endpoint>,
}

impl Default for Parts {
    fn default() -> Self {
        Self {
            route: |zone, seed, now| Box::new(route::Router::new(zone.clone(), seed, now)),
            gate: |endpoint, incarnation, now| {
                Box::new(gate::Guard::new(endpoint.clone(), incarnation, now))
            },
            ledger: |endpoint, life, born| {
                Box::new(once::Records::new(endpoint.clone(), life, born))
            },
            owner: |document, service, key| {
                let endpoints = document.endpoints.iter();
                let same = endpoints.filter(|(_, e)| e.service == *service);
                once::owner(same.map(|(name, _)| name), key).cloned()
            },
        }
    }
}
