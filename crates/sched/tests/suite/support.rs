use conf::id;
use sched::{Demand, Request};

/// Slots of the engines, the requests that they accept, and the comfortable load.
pub(crate) const ENGINES: (u32, u32, f64) = (384, 512, 300.0);

pub(crate) fn request(service: &id::Service, level: u8) -> Request<'_> {
    Request {
        service,
        level,
        levels: 2,
        team: None,
        returning: false,
    }
}

/// Demand with requests of other entries only.
pub(crate) fn demand(requests: u32) -> Demand {
    Demand {
        slots: ENGINES.0,
        limit: ENGINES.1,
        comfortable_load: ENGINES.2,
        requests,
        own_requests: 0,
    }
}
