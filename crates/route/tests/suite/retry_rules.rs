use std::{sync::Arc, time::Duration};

use conf::Priority;
use fault::ErrorKind;
use route::Event;

use crate::support::{Harness, document, last_offer, rejection_kind};

#[tokio::test(start_paused = true)]
async fn retry_after_refusal() {
    let retried = [
        ErrorKind::Cold,
        ErrorKind::Overloaded,
        ErrorKind::Leaving,
        ErrorKind::ZoneOut,
        ErrorKind::NoEndpoint,
        ErrorKind::NotReady,
        ErrorKind::UnknownService,
    ];
    let rejected = [
        ErrorKind::KeyMismatch,
        ErrorKind::InProgress,
        ErrorKind::OwnerLost,
        ErrorKind::DeadlineExpired,
    ];
    for kind in ErrorKind::ALL {
        let mut harness = Harness::new();
        let first = last_offer(&harness.begin(|d| d.repeatable = false));
        let actions = harness.refuse(&first, kind);
        if retried.contains(&kind) {
            assert_ne!(last_offer(&actions).endpoint, first.endpoint, "{kind:?}");
        } else if rejected.contains(&kind) {
            assert_eq!(rejection_kind(&actions), kind);
        }
    }
}

#[tokio::test(start_paused = true)]
async fn retry_after_interruption() {
    let cases = [
        (true, true, true),
        (true, false, false),
        (false, true, false),
    ];
    for (repeatable, replayable, retried) in cases {
        let mut harness = Harness::new();
        let first = last_offer(&harness.begin(|d| d.repeatable = repeatable));
        harness.admit(&first);
        let actions = harness.interrupt(&first, replayable);
        if retried {
            assert!(actions.is_empty());
            let second = last_offer(&harness.advance(Duration::from_secs(2)).await);
            assert_ne!(second.endpoint, first.endpoint);
            harness.admit(&second);
            let last = harness.interrupt(&second, true);
            assert_eq!(
                rejection_kind(&last),
                ErrorKind::Interrupted,
                "rejected after the second interruption"
            );
        } else {
            assert_eq!(rejection_kind(&actions), ErrorKind::Interrupted);
        }
    }
}

#[tokio::test(start_paused = true)]
async fn retry_budget() {
    let mut harness = Harness::new();
    let mut retries = 0;
    for _ in 0..1000 {
        let first = last_offer(&harness.begin(|_| {}));
        let actions = harness.refuse(&first, ErrorKind::Overloaded);
        if let [route::Action::Offer { .. }] = actions[..] {
            retries += 1;
            let second = last_offer(&actions);
            harness.refuse(&second, ErrorKind::DeadlineExpired);
        }
    }
    assert!(
        (100..=120).contains(&retries),
        "{retries} retries of 1000 requests"
    );
    let urgent = last_offer(&harness.begin(|d| d.priority = Priority::High));
    last_offer(&harness.refuse(&urgent, ErrorKind::Overloaded));
}

#[tokio::test(start_paused = true)]
async fn stale_configuration() {
    let mut harness = Harness::new();
    let first = last_offer(&harness.begin(|_| {}));
    assert!(harness.refuse(&first, ErrorKind::StaleVersion).is_empty());
    let actions = harness.handle(Event::Document(Arc::new(document())));
    let second = last_offer(&actions);
    assert_eq!(
        second.endpoint, first.endpoint,
        "offered again with the new version"
    );
    harness.refuse(&second, ErrorKind::StaleVersion);
    last_offer(&harness.advance(Duration::from_secs(1)).await);
}

#[tokio::test(start_paused = true)]
async fn owner_only() {
    let mut harness = Harness::new();
    let first = last_offer(&harness.begin(|d| d.owner = Some("c1".into())));
    assert_eq!(first.endpoint, "c1");
    let actions = harness.refuse(&first, ErrorKind::Overloaded);
    assert_eq!(rejection_kind(&actions), ErrorKind::Overloaded);
}
