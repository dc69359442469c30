use std::time::Duration;

use conf::id;
use direct::Stalls;
use tokio::time::{self, Instant};

fn ids(names: &[&str]) -> Vec<id::Endpoint> {
    names.iter().map(id::Endpoint::new).collect()
}

#[tokio::test(start_paused = true)]
async fn only_the_group_stalls() {
    let (mut stalls, ids) = (Stalls::default(), ids(&["a1", "a2", "b1"]));
    stalls.declined(&ids[0], &ids[1], Instant::now());
    let held = |stalls: &Stalls| {
        ids.iter()
            .map(|id| stalls.holds(id, Instant::now()))
            .collect::<Vec<_>>()
    };
    assert_eq!(held(&stalls), [true, true, false]);
    time::advance(Duration::from_millis(300)).await;
    assert_eq!(held(&stalls), [false; 3], "it is asked again");
}

#[tokio::test(start_paused = true)]
async fn group_is_learned() {
    let (mut stalls, ids) = (Stalls::default(), ids(&["a1", "a2", "a3", "a4"]));
    stalls.declined(&ids[0], &ids[1], Instant::now());
    stalls.declined(&ids[2], &ids[1], Instant::now());
    time::advance(Duration::from_secs(60)).await;
    assert!(!stalls.holds("a3", Instant::now()));
    stalls.declined(&ids[0], &ids[3], Instant::now());
    assert!(ids.iter().all(|id| stalls.holds(id, Instant::now())));
}

#[tokio::test(start_paused = true)]
async fn wrong_member_leaves() {
    let (mut stalls, ids) = (Stalls::default(), ids(&["a1", "a2", "b1"]));
    stalls.declined(&ids[0], &ids[2], Instant::now());
    stalls.declined(&ids[0], &ids[1], Instant::now());
    time::advance(Duration::from_millis(200)).await;
    stalls.answered(&ids[2], Instant::now());
    assert!(!stalls.holds("b1", Instant::now()) && stalls.holds("a2", Instant::now()));
}
