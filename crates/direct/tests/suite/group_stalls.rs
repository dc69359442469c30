use std::time::Duration;

use conf::id;
use direct::Stalls;
use fault::ErrorKind;
use tokio::time::{self, Instant};

use crate::support::{attempt, balancer, view};

fn ids(names: &[&str]) -> Vec<id::Endpoint> {
    names.iter().map(id::Endpoint::new).collect()
}

#[tokio::test(start_paused = true)]
async fn stall_covers_group() {
    let (mut stalls, ids) = (Stalls::default(), ids(&["a1", "a2", "b1"]));
    stalls.record_declined(&ids[0], &ids[1], Instant::now());
    let stalled = |stalls: &Stalls| {
        ids.iter()
            .map(|id| stalls.is_stalled(id, Instant::now()))
            .collect::<Vec<_>>()
    };
    assert_eq!(stalled(&stalls), [true, true, false]);
    time::advance(Duration::from_millis(300)).await;
    assert_eq!(stalled(&stalls), [false; 3], "the skip time has passed");
}

#[tokio::test(start_paused = true)]
async fn overlapping_groups_merge() {
    let (mut stalls, ids) = (Stalls::default(), ids(&["a1", "a2", "a3", "a4"]));
    stalls.record_declined(&ids[0], &ids[1], Instant::now());
    stalls.record_declined(&ids[2], &ids[1], Instant::now());
    time::advance(Duration::from_secs(60)).await;
    assert!(!stalls.is_stalled("a3", Instant::now()));
    stalls.record_declined(&ids[0], &ids[3], Instant::now());
    assert!(ids.iter().all(|id| stalls.is_stalled(id, Instant::now())));
}

#[tokio::test(start_paused = true)]
async fn responding_member_removed() {
    let (mut stalls, ids) = (Stalls::default(), ids(&["a1", "a2", "b1"]));
    stalls.record_declined(&ids[0], &ids[2], Instant::now());
    stalls.record_declined(&ids[0], &ids[1], Instant::now());
    time::advance(Duration::from_millis(200)).await;
    stalls.record_success(&ids[2], Instant::now());
    assert!(!stalls.is_stalled("b1", Instant::now()) && stalls.is_stalled("a2", Instant::now()));
}

/// State of a group whose engines are those of [`view`] with the given indexes.
fn status(name: &str, epoch: u64, open: bool, engines: std::ops::Range<u16>) -> group::Status {
    group::Status {
        service: "drafts".into(),
        group: name.into(),
        epoch,
        open,
        engines: engines
            .map(|index| ([127, 0, 0, 1], 1000 + index).into())
            .collect(),
    }
}

/// Load pattern: one of two groups has lost a rank. In benchmark run `scale-1` of the largest site, each
/// entry learned the ranks of a broken group one by one from what they declined.
#[tokio::test(start_paused = true)]
async fn broken_group_unused() {
    let (mut balancer, view, service) = (balancer(), view(8), "drafts".into());
    balancer.record_group(&status("g1", 1, true, 0..4), Instant::now());
    balancer.record_group(&status("g2", 1, true, 4..8), Instant::now());
    assert!(balancer.record_group(&status("g1", 1, false, 0..0), Instant::now()));
    for _ in 0..16 {
        let placement = balancer
            .choose(&view, &attempt(&service), Instant::now())
            .unwrap();
        assert!(["e4", "e5", "e6", "e7"].contains(&placement.endpoint.as_str()));
    }
    balancer.record_group(&status("g1", 2, true, 0..0), Instant::now());
    let placement = balancer
        .choose(&view, &attempt(&service), Instant::now())
        .unwrap();
    assert!(["e0", "e1", "e2", "e3"].contains(&placement.endpoint.as_str()));
}

/// Load pattern: the only group has lost a rank. What cannot be served is refused at once.
#[tokio::test(start_paused = true)]
async fn only_group_broken() {
    let (mut balancer, view, service) = (balancer(), view(4), "drafts".into());
    balancer.record_group(&status("g1", 1, true, 0..4), Instant::now());
    balancer.record_group(&status("g1", 1, false, 0..0), Instant::now());
    let fault = balancer
        .choose(&view, &attempt(&service), Instant::now())
        .unwrap_err();
    assert_eq!(fault.kind(), ErrorKind::NoEndpoint);
    assert!(fault.retry_delay().is_some());
}

#[tokio::test(start_paused = true)]
async fn decline_stops_group() {
    let (mut balancer, view, service) = (balancer(), view(8), "drafts".into());
    balancer.record_group(&status("g1", 1, true, 0..4), Instant::now());
    balancer.record_stall(&view, &"e0".into(), "127.0.0.1:1003", Instant::now());
    for _ in 0..8 {
        let placement = balancer
            .choose(&view, &attempt(&service), Instant::now())
            .unwrap();
        assert!(["e4", "e5", "e6", "e7"].contains(&placement.endpoint.as_str()));
    }
}

/// Load pattern: a group stands still, as with a frozen rank, while another one serves.
#[tokio::test(start_paused = true)]
async fn silent_group_unused() {
    let (mut balancer, view, service) = (balancer(), view(8), "drafts".into());
    balancer.record_group(&status("g1", 1, true, 0..4), Instant::now());
    balancer.record_group(&status("g2", 1, true, 4..8), Instant::now());
    let sent: Vec<_> = (0..6)
        .map(|_| {
            balancer
                .choose(&view, &attempt(&service), Instant::now())
                .unwrap()
        })
        .collect();
    time::advance(Duration::from_millis(800)).await;
    let serves = |id: &str| ["e4", "e5", "e6", "e7"].contains(&id);
    for placement in sent.iter().filter(|p| serves(&p.endpoint)) {
        balancer.record_progress(placement, Instant::now());
    }
    for _ in 0..6 {
        let placement = balancer
            .choose(&view, &attempt(&service), Instant::now())
            .unwrap();
        assert!(serves(&placement.endpoint), "{}", placement.endpoint);
    }
}
