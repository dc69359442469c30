use std::{sync::Arc, time::Duration};

use fleet::{Change, Configuration, Content, Endpoint, Item, Limits, Page, Revision, Stage};

/// Returns the registration of an endpoint with an address of its own.
pub(crate) fn endpoint(id: &str, stage: Stage, revision: impl Into<Revision>) -> Change {
    let port = id.bytes().map(u16::from).sum();
    register(id, stage, port, 1, revision.into())
}

/// Returns the registration of a ready endpoint that started at a time on a port.
pub(crate) fn endpoint_at(
    id: &str,
    port: u16,
    started_ms: u64,
    revision: impl Into<Revision>,
) -> Change {
    register(id, Stage::Ready, port, started_ms, revision.into())
}

fn register(id: &str, stage: Stage, port: u16, started_ms: u64, revision: Revision) -> Change {
    let endpoint = Endpoint {
        service: "drafts".into(),
        address: ([127, 0, 0, 1], port).into(),
        zone: "a".into(),
        slots: 4,
        stage,
        cold_time: Duration::ZERO,
        started_ms,
    };
    Change::Put(Item {
        key: format!("servers/{id}").into(),
        revision,
        content: Content::Endpoint(id.into(), Arc::new(endpoint)),
    })
}

pub(crate) fn configuration(version: u64, revision: impl Into<Revision>) -> Change {
    let configuration = Configuration {
        version,
        routes: Vec::new(),
        services: [].into(),
        teams: [].into(),
        keys_required: false,
        limits: Limits {
            max_header_bytes: 1024,
            max_body_bytes: 1024,
            header_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(1),
        },
    };
    Change::Put(Item {
        key: "configuration".into(),
        revision: revision.into(),
        content: Content::Configuration(Arc::new(configuration)),
    })
}

pub(crate) fn removed(key: &str, revision: impl Into<Revision>) -> Change {
    Change::Removed {
        key: key.into(),
        revision: revision.into(),
    }
}

pub(crate) fn page(changes: Vec<Change>, covered: impl Into<Revision>) -> Page {
    Page {
        changes,
        covered: covered.into(),
        keys: None,
        lapsing: Duration::ZERO,
    }
}
