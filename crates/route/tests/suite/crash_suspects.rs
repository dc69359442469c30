use std::time::Duration;

use fault::ErrorKind;
use gate::Suspects;
use route::Event;
use tokio::time::Instant;

use crate::support::{Harness, document, last_offer, rejection_kind};

#[tokio::test(start_paused = true)]
async fn quarantine_endpoint() {
    let mut harness = Harness::new();
    let mut suspects = Suspects::default();
    suspects.record_crash(&"a0".into(), 1, [5], Instant::now());
    harness.handle(Event::Suspects(suspects.list(Instant::now())));
    let quarantine = suspects.quarantine_endpoint(5, &document()).unwrap();
    assert_ne!(
        quarantine, "a0",
        "another endpoint than the one that crashed"
    );
    for _ in 0..3 {
        let first = last_offer(&harness.begin(|d| d.fingerprint = 5));
        assert_eq!(first.endpoint, quarantine);
        assert!(harness.refuse(&first, ErrorKind::Overloaded).is_empty());
        let again = last_offer(&harness.advance(Duration::from_secs(1)).await);
        assert_eq!(
            again.endpoint, quarantine,
            "offered again to the same endpoint"
        );
    }
    suspects.record_crash(&quarantine, 1, [5], Instant::now());
    harness.handle(Event::Suspects(suspects.list(Instant::now())));
    let actions = harness.begin(|d| d.fingerprint = 5);
    assert_eq!(rejection_kind(&actions), ErrorKind::Suspect);
}
