use std::time::Duration;

use conf::{Limit, Priority, ZoneState};
use fault::ErrorKind;
use gate::Event;
use tokio::time;

use crate::support::{Bench, TICK, ask, document};

const LIMIT: Limit = Limit { cold: 4, full: 4 };

#[tokio::test(start_paused = true)]
async fn closed_kinds() {
    let mut out = document(LIMIT);
    out.zones.get_mut("a").unwrap().state = ZoneState::Out;
    let mut leaving = document(LIMIT);
    leaving.endpoints.get_mut("e").unwrap().leaving = true;
    let cases = [(out, ErrorKind::ZoneOut), (leaving, ErrorKind::Leaving)];
    for (document, kind) in cases {
        let mut bench = Bench::new(LIMIT, 0);
        let before: Vec<u32> = (0..5).map(|_| bench.offer()).collect();
        bench.adopt(2, document);
        let late = bench.offer();
        assert_eq!(bench.kind(before[4]), Some(kind), "what waits goes too");
        assert_eq!(bench.kind(late), Some(kind));
        assert_eq!(bench.running.len(), 4, "what is in flight ends");
        bench.finish_all();
        assert!(bench.running.is_empty() && !bench.guard_open());
    }
}

impl Bench {
    fn guard_open(&self) -> bool {
        gate::Policy::hint(&self.guard).open
    }
}

#[tokio::test(start_paused = true)]
async fn offer_kinds() {
    let mut bench = Bench::new(LIMIT, 0);
    let mut changed = document(Limit { cold: 5, full: 5 });
    bench.adopt(2, changed.clone());
    changed.teams.clear();
    bench.adopt(3, changed);
    let mut kind = |number, change: fn(&mut gate::Descriptor)| {
        let mut ask = ask(number, "small", Priority::Normal);
        ask.version = 3;
        change(&mut ask);
        bench.tell(Event::Offer(ask));
        bench.kind(number)
    };
    assert_eq!(kind(1, |a| a.version = 1), Some(ErrorKind::StaleVersion));
    assert_eq!(
        kind(2, |a| a.version = 2),
        None,
        "no change that concerns us"
    );
    assert_eq!(
        kind(3, |a| a.service = "x".into()),
        Some(ErrorKind::UnknownService)
    );
    let expired = kind(4, |a| a.deadline = time::Instant::now());
    assert_eq!(expired, Some(ErrorKind::DeadlineExpired));
}

#[tokio::test(start_paused = true)]
async fn newer_sender() {
    let mut bench = Bench::new(LIMIT, 0);
    for number in [1, 2] {
        let mut ask = ask(number, "small", Priority::Normal);
        ask.version = 2;
        bench.tell(Event::Offer(ask));
        assert!(bench.running.is_empty(), "it learns first");
        if number == 1 {
            bench.pass(Duration::from_secs(1)).await;
            assert_eq!(bench.kind(1), Some(ErrorKind::NotReady));
        }
    }
    bench.adopt(2, document(LIMIT));
    assert!(bench.running.contains(&2));
}

#[tokio::test(start_paused = true)]
async fn paused_agent() {
    let mut bench = Bench::new(LIMIT, 0);
    time::advance(Duration::from_secs(30)).await;
    let buffered = bench.offer();
    assert_eq!(bench.kind(buffered), Some(ErrorKind::NotReady));
    bench.pass(Duration::from_secs(2)).await;
    let unheard = bench.offer();
    assert_eq!(bench.kind(unheard), Some(ErrorKind::NotReady));
    bench.load(0);
    bench.pass(TICK).await;
    let fresh = bench.offer();
    assert!(bench.running.contains(&fresh));
}
