use std::time::Duration;

use conf::{Limit, Priority, ZoneState};
use fault::ErrorKind;
use gate::Event;
use tokio::time;

use crate::support::{Harness, TICK_INTERVAL, descriptor, document};

const LIMIT: Limit = Limit { cold: 4, full: 4 };

#[tokio::test(start_paused = true)]
async fn closed_endpoint() {
    let mut out = document(LIMIT);
    out.zones.get_mut("a").unwrap().state = ZoneState::Out;
    let mut leaving = document(LIMIT);
    leaving.endpoints.get_mut("e").unwrap().leaving = true;
    let cases = [(out, ErrorKind::ZoneOut), (leaving, ErrorKind::Leaving)];
    for (document, kind) in cases {
        let mut harness = Harness::new(LIMIT, 0);
        let before: Vec<u32> = (0..5).map(|_| harness.offer()).collect();
        harness.apply(2, document);
        let late = harness.offer();
        assert_eq!(
            harness.refusal_kind(before[4]),
            Some(kind),
            "waiting attempts are refused too"
        );
        assert_eq!(harness.refusal_kind(late), Some(kind));
        assert_eq!(harness.running.len(), 4, "running attempts go on");
        harness.finish_all();
        assert!(harness.running.is_empty() && !harness.is_open());
    }
}

impl Harness {
    fn is_open(&self) -> bool {
        gate::Policy::hint(&self.controller).open
    }
}

#[tokio::test(start_paused = true)]
async fn refusal_kinds() {
    let mut harness = Harness::new(LIMIT, 0);
    let mut changed = document(Limit { cold: 5, full: 5 });
    harness.apply(2, changed.clone());
    changed.teams.clear();
    harness.apply(3, changed);
    let mut offer_changed = |number, change: fn(&mut gate::Descriptor)| {
        let mut descriptor = descriptor(number, "small", Priority::Normal);
        descriptor.version = 3;
        change(&mut descriptor);
        harness.handle(Event::Offer(descriptor));
        harness.refusal_kind(number)
    };
    assert_eq!(
        offer_changed(1, |d| d.version = 1),
        Some(ErrorKind::StaleVersion)
    );
    assert_eq!(
        offer_changed(2, |d| d.version = 2),
        None,
        "version 3 changes only teams"
    );
    assert_eq!(
        offer_changed(3, |d| d.service = "x".into()),
        Some(ErrorKind::UnknownService)
    );
    let expired = offer_changed(4, |d| d.deadline = time::Instant::now());
    assert_eq!(expired, Some(ErrorKind::DeadlineExpired));
}

#[tokio::test(start_paused = true)]
async fn newer_version() {
    let mut harness = Harness::new(LIMIT, 0);
    for number in [1, 2] {
        let mut descriptor = descriptor(number, "small", Priority::Normal);
        descriptor.version = 2;
        harness.handle(Event::Offer(descriptor));
        assert!(harness.running.is_empty(), "it waits for version 2");
        if number == 1 {
            harness.advance(Duration::from_secs(1)).await;
            assert_eq!(harness.refusal_kind(1), Some(ErrorKind::NotReady));
        }
    }
    harness.apply(2, document(LIMIT));
    assert!(harness.running.contains(&2));
}

#[tokio::test(start_paused = true)]
async fn paused_process() {
    let mut harness = Harness::new(LIMIT, 0);
    time::advance(Duration::from_secs(30)).await;
    let buffered = harness.offer();
    assert_eq!(harness.refusal_kind(buffered), Some(ErrorKind::NotReady));
    harness.advance(Duration::from_secs(2)).await;
    let before_load_report = harness.offer();
    assert_eq!(
        harness.refusal_kind(before_load_report),
        Some(ErrorKind::NotReady)
    );
    harness.report_load(0);
    harness.advance(TICK_INTERVAL).await;
    let after_load_report = harness.offer();
    assert!(harness.running.contains(&after_load_report));
}
