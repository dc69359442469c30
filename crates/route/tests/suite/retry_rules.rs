use std::{sync::Arc, time::Duration};

use conf::Priority;
use fault::ErrorKind;
use route::Event;

use crate::support::{Bench, document, given_up, offer};

#[tokio::test(start_paused = true)]
async fn refused_kinds() {
    let elsewhere = [
        ErrorKind::Cold,
        ErrorKind::Overloaded,
        ErrorKind::Leaving,
        ErrorKind::ZoneOut,
        ErrorKind::NoEndpoint,
        ErrorKind::NotReady,
        ErrorKind::UnknownService,
    ];
    let finally = [
        ErrorKind::KeyMismatch,
        ErrorKind::InProgress,
        ErrorKind::OwnerLost,
        ErrorKind::DeadlineExpired,
    ];
    for kind in ErrorKind::ALL {
        let mut bench = Bench::new();
        let first = offer(&bench.begin(|ask| ask.repeatable = false));
        let actions = bench.refuse(&first, kind);
        if elsewhere.contains(&kind) {
            assert_ne!(offer(&actions).endpoint, first.endpoint, "{kind:?}");
        } else if finally.contains(&kind) {
            assert_eq!(given_up(&actions), kind);
        }
    }
}

#[tokio::test(start_paused = true)]
async fn broken_rules() {
    let cases = [
        (true, true, true),
        (true, false, false),
        (false, true, false),
    ];
    for (repeatable, replayable, again) in cases {
        let mut bench = Bench::new();
        let first = offer(&bench.begin(|ask| ask.repeatable = repeatable));
        bench.admit(&first);
        let actions = bench.break_off(&first, replayable);
        if again {
            assert!(actions.is_empty());
            let second = offer(&bench.pass(Duration::from_secs(2)).await);
            assert_ne!(second.endpoint, first.endpoint);
            bench.admit(&second);
            let last = bench.break_off(&second, true);
            assert_eq!(given_up(&last), ErrorKind::Interrupted, "two at most");
        } else {
            assert_eq!(given_up(&actions), ErrorKind::Interrupted);
        }
    }
}

#[tokio::test(start_paused = true)]
async fn retry_budget() {
    let mut bench = Bench::new();
    let mut retries = 0;
    for _ in 0..1000 {
        let first = offer(&bench.begin(|_| {}));
        let actions = bench.refuse(&first, ErrorKind::Overloaded);
        if let [route::Action::Offer { .. }] = actions[..] {
            retries += 1;
            let second = offer(&actions);
            bench.refuse(&second, ErrorKind::DeadlineExpired);
        }
    }
    assert!((100..=120).contains(&retries), "{retries} of 1000");
    let order = offer(&bench.begin(|ask| ask.priority = Priority::High));
    offer(&bench.refuse(&order, ErrorKind::Overloaded));
}

#[tokio::test(start_paused = true)]
async fn stale_version() {
    let mut bench = Bench::new();
    let first = offer(&bench.begin(|_| {}));
    assert!(bench.refuse(&first, ErrorKind::StaleVersion).is_empty());
    let actions = bench.tell(Event::Document(Arc::new(document())));
    let second = offer(&actions);
    assert_eq!(second.endpoint, first.endpoint, "once it has learned");
    bench.refuse(&second, ErrorKind::StaleVersion);
    offer(&bench.pass(Duration::from_secs(1)).await);
}

#[tokio::test(start_paused = true)]
async fn owner_only() {
    let mut bench = Bench::new();
    let first = offer(&bench.begin(|ask| ask.owner = Some("c1".into())));
    assert_eq!(first.endpoint, "c1");
    let actions = bench.refuse(&first, ErrorKind::Overloaded);
    assert_eq!(given_up(&actions), ErrorKind::Overloaded);
}
