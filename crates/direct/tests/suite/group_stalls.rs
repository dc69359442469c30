use std::time::Duration;

use conf::id;
use direct::Stalls;
use tokio::time::{self, Instant};

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
