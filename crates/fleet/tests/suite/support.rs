use std::{sync::Arc, time::Duration};

use fleet::{Change, Configuration, Content, Endpoint, Item, Limits, Page, Revision, Stage};

pub(crate) fn endpoint(id: &str, stage: Stage, revision: impl Into<Revision>) -> Change {
    let endpoint = Endpoint {
        service: "drafts".into(),
        address: ([127, 0, 0, 1], 8080).into(),
        zone: "a".into(),
        slots: 4,
        stage,
        cold_time: Duration::ZERO,
        started_ms: 1,
    };
    Change::Put(Item {
        key: format!("servers/{id}").into(),
        revision: revision.into(),
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
    }
}
