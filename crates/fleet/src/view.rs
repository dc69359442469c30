use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use conf::id;
use tokio::time::Instant;

use crate::{Configuration, Endpoint, Revision, Stage};

/// Endpoint with what the own clock knows of it.
#[derive(Clone, Debug)]
pub struct Registration {
    /// What it announced.
    pub endpoint: Arc<Endpoint>,
    /// Until when it is cold.
    pub cold_until: Instant,
    /// Until when it is used, if its entry is gone and may come back.
    pub expires_at: Option<Instant>,
    /// Revision of the announcement.
    pub revision: Revision,
}

/// What is in force at one moment.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Configuration; `None` until the first one is known.
    pub configuration: Option<Arc<Configuration>>,
    /// Endpoints by id, draining ones included.
    pub endpoints: BTreeMap<id::Endpoint, Registration>,
    /// Zones whose endpoints get no new work.
    pub zones_out: BTreeSet<id::Zone>,
    /// Revision up to which everything is known.
    pub covered: Revision,
}

impl View {
    /// Lists the endpoints of a service that may get new work.
    pub fn available<'a>(
        &'a self,
        service: &'a str,
        now: Instant,
    ) -> impl Iterator<Item = (&'a id::Endpoint, &'a Registration)> {
        self.endpoints.iter().filter(move |(_, known)| {
            known.endpoint.service == service && self.is_available(known, now)
        })
    }

    /// Returns whether an endpoint may get new work.
    #[must_use]
    pub fn is_available(&self, known: &Registration, now: Instant) -> bool {
        let present = known.expires_at.is_none_or(|until| now < until);
        let ready = known.endpoint.stage == Stage::Ready;
        present && ready && !self.zones_out.contains(&known.endpoint.zone)
    }
}
