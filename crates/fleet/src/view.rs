use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use conf::id;
use tokio::time::Instant;

use crate::{Configuration, Endpoint, Revision, Stage};

/// Registered endpoint, with times on the local clock.
#[derive(Clone, Debug)]
pub struct Registration {
    /// Data that the endpoint registered.
    pub endpoint: Arc<Endpoint>,
    /// End of the cold start.
    pub cold_until: Instant,
    /// End of use if the registration lapsed and may be renewed; `None` while the store has it.
    pub expires_at: Option<Instant>,
    /// Revision of the store at which the endpoint registered.
    pub revision: Revision,
}

/// Snapshot of the configuration, endpoints and zones in force.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Configuration; `None` until the first one arrives.
    pub configuration: Option<Arc<Configuration>>,
    /// Endpoints by id, including draining and lapsed ones.
    pub endpoints: BTreeMap<id::Endpoint, Registration>,
    /// Zones that are out of service; their endpoints get no new work.
    pub zones_out: BTreeSet<id::Zone>,
    /// Revision of the store up to which all changes have been applied.
    pub covered: Revision,
}

impl View {
    /// Returns the endpoints of a service that may get new work.
    pub fn available<'a>(
        &'a self,
        service: &'a str,
        now: Instant,
    ) -> impl Iterator<Item = (&'a id::Endpoint, &'a Registration)> {
        self.endpoints.iter().filter(move |(_, registration)| {
            registration.endpoint.service == service && self.is_available(registration, now)
        })
    }

    /// Returns whether an endpoint may get new work.
    #[must_use]
    pub fn is_available(&self, registration: &Registration, now: Instant) -> bool {
        let in_use = registration
            .expires_at
            .is_none_or(|expires_at| now < expires_at);
        let ready = registration.endpoint.stage == Stage::Ready;
        in_use && ready && !self.zones_out.contains(&registration.endpoint.zone)
    }
}
