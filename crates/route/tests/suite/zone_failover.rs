use std::sync::Arc;

use conf::ZoneState;
use fault::ErrorKind;
use route::Event;

use crate::support::{Harness, document, last_offer, rejection_kind};

#[tokio::test(start_paused = true)]
async fn own_zone_first() {
    let mut harness = Harness::new();
    for _ in 0..20 {
        let actions = harness.begin(|_| {});
        let first = last_offer(&actions);
        assert!(first.endpoint.starts_with('a'), "{first:?}");
        harness.admit(&first);
    }
    harness.report_load("a0", 8);
    harness.report_load("a1", 8);
    harness.report_load("b0", 7);
    harness.report_load("b1", 7);
    let other = last_offer(&harness.begin(|_| {}));
    assert!(
        other.endpoint.starts_with('c'),
        "the zone with the most capacity left: {other:?}"
    );
    for name in ["b0", "b1", "c0", "c1"] {
        harness.report_load(name, 9);
    }
    let full = last_offer(&harness.begin(|_| {}));
    assert!(
        full.endpoint.starts_with('a'),
        "the own zone if all are full, as its agent decides: {full:?}"
    );
}

#[tokio::test(start_paused = true)]
async fn zone_out() {
    let mut harness = Harness::new();
    let mut document = document();
    for zone in ["a", "b"] {
        document.zones.get_mut(zone).unwrap().state = ZoneState::Out;
    }
    document.endpoints.get_mut("c0").unwrap().leaving = true;
    harness.handle(Event::Document(Arc::new(document.clone())));
    for _ in 0..20 {
        assert_eq!(last_offer(&harness.begin(|_| {})).endpoint, "c1");
    }
    document.endpoints.get_mut("c1").unwrap().leaving = true;
    harness.handle(Event::Document(Arc::new(document)));
    assert_eq!(
        rejection_kind(&harness.begin(|_| {})),
        ErrorKind::NoEndpoint
    );
}

#[tokio::test(start_paused = true)]
async fn large_subset() {
    let mut document = document();
    let template = document.endpoints["a0"].clone();
    for i in 0..200 {
        document
            .endpoints
            .insert(format!("a{i}").into(), template.clone());
    }
    let entries: Vec<_> = (0..40).map(|i| format!("entry-{i}")).collect();
    let mut connected = std::collections::BTreeSet::new();
    for entry in &entries {
        let subset = route::select_subset(&document, entry, &"a".into());
        assert_eq!(subset.len(), 32 + 4);
        connected.extend(subset);
        let other_zone = route::select_subset(&document, entry, &"b".into());
        assert_eq!(
            other_zone.len(),
            16 + 4,
            "in zone a half as many as an entry in zone a connects to"
        );
    }
    assert_eq!(connected.len(), 204, "every endpoint is in a subset");
    document.services.get_mut("s").unwrap().kind = conf::ServiceKind::Plain;
    assert_eq!(route::select_subset(&document, "e", &"a".into()).len(), 204);
}
