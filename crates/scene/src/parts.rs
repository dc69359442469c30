use conf::{Document, id};
use gate::Policy as Gate;
use once::Ledger;
use route::Policy as Route;
use wire::Key;

/// Makes the decision code that a scenario drives.
///
/// The default is what the binaries use; a test may replace one part to see a scenario fail
/// without the rule that it proves.
pub struct Parts {
    /// Makes the routing policy of an entry in a zone.
    pub route: fn(&id::Zone, u64) -> Box<dyn Route>,
    /// Makes the admission policy of an endpoint.
    pub gate: fn(&id::Endpoint, id::Incarnation, u64) -> Box<dyn Gate>,
    /// Makes the run records of an agent, for at most so many keys.
    pub ledger: fn(id::Incarnation, usize) -> Box<dyn Ledger>,
    /// Names the endpoint that owns a key.
    pub owner: fn(&Document, &id::Service, &Key) -> Option<id::Endpoint>,
}

impl Default for Parts {
    fn default() -> Self {
        Self {
            route: |zone, _| Box::new(route::Plain::new(zone.clone())),
            gate: |endpoint, incarnation, _| {
                Box::new(gate::Plain::new(endpoint.clone(), incarnation))
            },
            ledger: |_, records| Box::new(once::Plain::new(records)),
            owner: |_, _, _| None,
        }
    }
}
