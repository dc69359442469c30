//! Answers, keys and configurations that the tests share.

use std::time::Duration;

use bytes::Bytes;
use conf::{Document, Endpoint, Limit, Policy, SCHEMA};
use once::{Answer, Bounds};
use smol_str::{SmolStr, format_smolstr};
use wire::{Head, Key};

/// Names of the endpoints.
pub(crate) const ENDPOINTS: [&str; 2] = ["a", "b"];

pub(crate) fn answer() -> Answer {
    Answer {
        head: Head {
            request: "r".into(),
            attempt: 1,
            status: 200,
            headers: Vec::new(),
        },
        body: Bytes::from_static(b"done"),
    }
}

/// Returns a configuration of one endpoint, or of two of which the second owns the key.
pub(crate) fn document(changed: bool) -> Document {
    let endpoint = Endpoint {
        zone: "z".into(),
        service: "s".into(),
        agent: ([127, 0, 0, 1], 1).into(),
        group: None,
        ranks: Vec::new(),
        leaving: false,
        limit: Limit { cold: 1, full: 1 },
    };
    let names = &ENDPOINTS[..if changed { 2 } else { 1 }];
    Document {
        schema: SCHEMA,
        zones: [].into(),
        services: [].into(),
        groups: [].into(),
        endpoints: names
            .iter()
            .map(|name| ((*name).into(), endpoint.clone()))
            .collect(),
        teams: [].into(),
        policy: Policy::default(),
    }
}

/// Returns a caller's own key of team `t` that the second endpoint owns.
pub(crate) fn moving_key() -> SmolStr {
    let key = |n: u32| Key {
        team: "t".into(),
        text: format_smolstr!("{n}"),
        owner: None,
    };
    let names = ENDPOINTS.map(SmolStr::new_static);
    let mut keys = (0..).map(key);
    let found = keys.find(|key| once::owner(&names, key) == Some(&names[1]));
    found.unwrap().text
}

/// Returns the time after which a new owner takes callers' own keys.
pub(crate) fn settle() -> Duration {
    Bounds::from(&Policy::default()).settling_time()
}
