use std::time::Duration;

use direct::{Balancer, Load, Outcome};
use fault::{ErrorKind, Run};
use sched::{Admission, Demand, Request};
use tokio::time::{self, Instant};

use crate::support::{SLOTS, attempt, balancer, view};

/// Simulates an entry with a constant rate of requests for ten seconds; returns how many a second it
/// admits.
async fn admitted_rate(rate: u32, demand: Demand, entries: usize, duration: Duration) -> f64 {
    let (mut admission, service) = (Admission::default(), "drafts".into());
    for _ in 0..100 {
        admission.record_duration(&service, duration, Instant::now());
    }
    let request = Request {
        service: &service,
        level: 0,
        levels: 1,
        team: None,
        returning: false,
    };
    let mut admitted = 0;
    for _ in 0..10 * rate {
        let result = admission.admit(&request, &demand, entries, 0.5, Instant::now());
        admitted += u32::from(result.is_ok());
        time::advance(Duration::from_secs(1) / rate).await;
    }
    f64::from(admitted) / 10.0
}

/// Load pattern: one of three groups is left, and all entries turn to it. In benchmark run `scale-1` of
/// the largest site, 99 entries filled its queues before they knew of each other's requests, and
/// clients left before their first event.
#[tokio::test(start_paused = true)]
async fn remaining_group_shared() {
    let demand = Demand {
        slots: 64 * 6,
        requests: 930,
        ..Demand::default()
    };
    let admitted = admitted_rate(10, demand, 99, Duration::from_secs(2)).await;
    let capacity = 64.0 * 6.0 / 2.0;
    assert!(
        99.0 * admitted <= capacity,
        "{admitted} a second of {capacity}"
    );
    assert!(
        99.0 * admitted >= capacity * 0.8,
        "{admitted} a second of {capacity}"
    );
}

/// An entry with more clients than others is not limited while there are free slots.
#[tokio::test(start_paused = true)]
async fn uneven_entries_admitted() {
    let demand = Demand {
        slots: 192 * 6,
        requests: 1000,
        ..Demand::default()
    };
    let admitted = admitted_rate(20, demand, 99, Duration::from_secs(2)).await;
    assert!((admitted - 20.0).abs() < 0.2, "{admitted} of 20 a second");
}

#[tokio::test(start_paused = true)]
async fn quiet_entry_admitted() {
    let demand = Demand {
        slots: 64 * 6,
        requests: 930,
        ..Demand::default()
    };
    let admitted = admitted_rate(1, demand, 99, Duration::from_secs(2)).await;
    assert!(admitted >= 0.9, "{admitted} of 1 a second");
}

/// Records reports of other entries that fill all slots of eight engines.
fn report_full(balancer: &mut Balancer) {
    for engine in 0..8 {
        let busy = Load {
            requests: SLOTS,
            pending_tokens: 0,
        };
        balancer.record_report(
            &format!("entry-{engine}").into(),
            vec![(format!("e{engine}").into(), busy)],
            Instant::now(),
        );
    }
}

/// Load pattern: an entry starts while more is in demand than slots, and has heard of one other entry only.
#[tokio::test(start_paused = true)]
async fn started_entry_rations() {
    let (mut balancer, view, service) = (balancer(), view(8), "drafts".into());
    balancer.set_entry_count(2, Instant::now());
    balancer.set_reported_entries(40, Instant::now());
    report_full(&mut balancer);
    let choose =
        |balancer: &mut Balancer| balancer.choose(&view, &attempt(&service), Instant::now());
    choose(&mut balancer).unwrap();
    time::advance(Duration::from_secs(1)).await;
    let admitted = (0..20).filter(|_| choose(&mut balancer).is_ok()).count();
    assert!(admitted <= 1, "{admitted}");
}

/// What cannot be served is refused at once, and counts as not run.
#[tokio::test(start_paused = true)]
async fn excess_refused() {
    let (mut balancer, view, service) = (balancer(), view(8), "drafts".into());
    balancer.set_entry_count(40, Instant::now());
    report_full(&mut balancer);
    let choose =
        |balancer: &mut Balancer| balancer.choose(&view, &attempt(&service), Instant::now());
    let first = choose(&mut balancer).unwrap();
    let fault = choose(&mut balancer).unwrap_err();
    assert_eq!(
        (fault.kind(), fault.run()),
        (ErrorKind::Overloaded, Run::No)
    );
    assert!(fault.retry_delay().is_some());
    balancer.record_outcome(&first, Outcome::Whole, Instant::now());
}

/// Load pattern: one of two groups is lost. A client that is refused returns once, so it is told to come
/// back late in its time, when the group may have formed again.
#[tokio::test(start_paused = true)]
async fn return_after_lost_group() {
    let (mut balancer, view, service) = (balancer(), view(8), "drafts".into());
    let status = |name: &str, open, engines: std::ops::Range<u16>| group::Status {
        service: "drafts".into(),
        group: name.into(),
        epoch: 1,
        open,
        engines: engines
            .map(|index| ([127, 0, 0, 1], 1000 + index).into())
            .collect(),
    };
    balancer.record_group(&status("g1", true, 0..4), Instant::now());
    balancer.record_group(&status("g2", false, 4..8), Instant::now());
    let mut refused = 0;
    for _ in 0..60 {
        let Err(fault) = balancer.choose(&view, &attempt(&service), Instant::now()) else {
            continue;
        };
        refused += 1;
        let third = attempt(&service).time_left / 3;
        let wait = fault.retry_delay().unwrap();
        assert!(wait > third * 3 / 4 && wait <= third, "{wait:?}");
    }
    assert!(refused > 0);
}
