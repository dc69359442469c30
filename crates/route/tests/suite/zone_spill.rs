use std::sync::Arc;

use conf::ZoneState;
use fault::ErrorKind;
use route::Event;

use crate::support::{Bench, document, given_up, offer};

#[tokio::test(start_paused = true)]
async fn own_first() {
    let mut bench = Bench::new();
    for _ in 0..20 {
        let actions = bench.begin(|_| {});
        let first = offer(&actions);
        assert!(first.endpoint.starts_with('a'), "{first:?}");
        bench.admit(&first);
    }
    bench.hint("a0", 8);
    bench.hint("a1", 8);
    bench.hint("b0", 7);
    bench.hint("b1", 7);
    let spilled = offer(&bench.begin(|_| {}));
    assert!(
        spilled.endpoint.starts_with('c'),
        "the roomiest: {spilled:?}"
    );
    for name in ["b0", "b1", "c0", "c1"] {
        bench.hint(name, 9);
    }
    let full = offer(&bench.begin(|_| {}));
    assert!(
        full.endpoint.starts_with('a'),
        "its agent decides: {full:?}"
    );
}

#[tokio::test(start_paused = true)]
async fn zone_out() {
    let mut bench = Bench::new();
    let mut document = document();
    for zone in ["a", "b"] {
        document.zones.get_mut(zone).unwrap().state = ZoneState::Out;
    }
    document.endpoints.get_mut("c0").unwrap().leaving = true;
    bench.tell(Event::Document(Arc::new(document.clone())));
    for _ in 0..20 {
        assert_eq!(offer(&bench.begin(|_| {})).endpoint, "c1");
    }
    document.endpoints.get_mut("c1").unwrap().leaving = true;
    bench.tell(Event::Document(Arc::new(document)));
    assert_eq!(given_up(&bench.begin(|_| {})), ErrorKind::NoEndpoint);
}

#[tokio::test(start_paused = true)]
async fn large_subset() {
    let mut document = document();
    let model = document.endpoints["a0"].clone();
    for i in 0..200 {
        document
            .endpoints
            .insert(format!("a{i}").into(), model.clone());
    }
    let entries: Vec<_> = (0..40).map(|i| format!("entry-{i}")).collect();
    let mut covered = std::collections::BTreeSet::new();
    for entry in &entries {
        let subset = route::select_subset(&document, entry, &"a".into());
        assert_eq!(subset.len(), 32 + 4);
        covered.extend(subset);
        let abroad = route::select_subset(&document, entry, &"b".into());
        assert_eq!(
            abroad.len(),
            16 + 4,
            "half of what it has at home in each of two zones"
        );
    }
    assert_eq!(covered.len(), 204, "every endpoint has entries");
    document.services.get_mut("s").unwrap().kind = conf::ServiceKind::Plain;
    assert_eq!(route::select_subset(&document, "e", &"a".into()).len(), 204);
}
