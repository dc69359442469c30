use std::{sync::Arc, time::Duration};

use fleet::{Change, Configuration, Endpoint, Fact, Item, Limits, Page, Revision, Stage};

pub(crate) fn endpoint(id: &str, stage: Stage, revision: Revision) -> Change {
    let endpoint = Endpoint {
        service: "drafts".into(),
        address: ([127, 0, 0, 1], 8080).into(),
        zone: "a".into(),
        slots: 4,
        stage,
        cold: Duration::ZERO,
        born: 1,
    };
    Change::Put(Item {
        key: format!("servers/{id}").into(),
        revision,
        fact: Fact::Endpoint(id.into(), Arc::new(endpoint)),
    })
}

pub(crate) fn configuration(version: u64, revision: Revision) -> Change {
    let configuration = Configuration {
        version,
        routes: Vec::new(),
        services: [].into(),
        teams: [].into(),
        keyed: false,
        limits: Limits {
            head: 1024,
            body: 1024,
            head_time: Duration::from_secs(1),
            idle_time: Duration::from_secs(1),
        },
    };
    Change::Put(Item {
        key: "configuration".into(),
        revision,
        fact: Fact::Configuration(Arc::new(configuration)),
    })
}

pub(crate) fn removed(key: &str, revision: Revision) -> Change {
    Change::Removed {
        key: key.into(),
        revision,
    }
}

pub(crate) fn page(changes: Vec<Change>, covered: Revision) -> Page {
    Page {
        changes,
        covered,
        keys: None,
    }
}
