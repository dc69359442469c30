use std::{collections::BTreeMap, sync::Arc, time::Duration};

use fleet::{Configuration, Limits, Repeat, Route, Split};

fn route(gap_target_ms: u64, weights: [(&str, u32); 2]) -> Arc<Route> {
    let split = weights.map(|(service, weight)| Split {
        service: service.into(),
        weight,
    });
    Arc::new(Route {
        name: "route".into(),
        host: "host.example".into(),
        prefix: "/".into(),
        split: split.into(),
        repeat: Repeat::Resumable,
        stream: true,
        timeout: Duration::from_secs(3),
        event_timeout: None,
        latency_target: Duration::from_millis(400),
        gap_target: Some(Duration::from_millis(gap_target_ms)),
        max_attempts: 2,
        priority: 1,
        public: true,
    })
}

/// Guards against a service that is held to the target of a route of which it gets no requests.
#[test]
fn only_receivers_are_held_to_targets() {
    let configuration = Configuration {
        version: 1,
        routes: vec![
            route(50, [("old", 1), ("new", 0)]),
            route(120, [("old", 1), ("new", 1)]),
            route(150, [("other", 0), ("new", 0)]),
        ],
        services: BTreeMap::new(),
        teams: BTreeMap::new(),
        keys_required: false,
        limits: Limits {
            max_header_bytes: 8192,
            max_body_bytes: 4096,
            header_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(5),
        },
    };
    let target = |service| configuration.gap_target(service).map(|t| t.as_millis());
    assert_eq!(target("old"), Some(50));
    assert_eq!(target("new"), Some(120));
    assert_eq!(target("other"), None);
}
