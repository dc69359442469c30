//! Sample answers, keys and configurations shared by the tests.

use std::time::Duration;

use bytes::Bytes;
use conf::{Document, Endpoint, Limit, Policy, SCHEMA};
use once::{Answer, Bounds};
use smol_str::{SmolStr, format_smolstr};
use wire::{Head, Key};

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

/// Returns a configuration with the first endpoint, or with both if `second` is set.
pub(crate) fn document(second: bool) -> Document {
    let endpoint = Endpoint {
        zone: "z".into(),
        service: "s".into(),
        agent: ([127, 0, 0, 1], 1).into(),
        group: None,
        ranks: Vec::new(),
        leaving: false,
        limit: Limit { cold: 1, full: 1 },
    };
    let names = &ENDPOINTS[..if second { 2 } else { 1 }];
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

/// Returns the text of a client-supplied key of team `t` that the second endpoint owns if both are
/// published.
pub(crate) fn key_of_second_endpoint() -> SmolStr {
    let key = |n: u32| Key {
        team: "t".into(),
        text: format_smolstr!("{n}"),
        owner: None,
    };
    let names = ENDPOINTS.map(SmolStr::new_static);
    let mut keys = (0..).map(key);
    let owned = keys.find(|key| once::owner(&names, key) == Some(&names[1]));
    owned.unwrap().text
}

/// Returns the time for which an endpoint must own a client-supplied key before it accepts it.
pub(crate) fn settling_time() -> Duration {
    Bounds::from(&Policy::default()).settling_time()
}
