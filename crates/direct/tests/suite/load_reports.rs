use std::time::Duration;

use direct::{Load, Loads};
use tokio::time::{self, Instant};

const fn load(requests: u32, unread: u32) -> Load {
    Load { requests, unread }
}

#[tokio::test(start_paused = true)]
async fn own_and_others() {
    let mut loads = Loads::default();
    let id = conf::id::Endpoint::from("e0");
    loads.sent(&id, 100, Instant::now());
    loads.sent(&id, 50, Instant::now());
    loads.hear(
        &"other".into(),
        vec![("e0".into(), load(2, 10))],
        Instant::now(),
    );
    assert_eq!(loads.at("e0", Instant::now()), load(4, 160));
    loads.began("e0", 100);
    loads.ended("e0");
    assert_eq!(loads.at("e0", Instant::now()), load(3, 60));
    loads.hear(&"other".into(), Vec::new(), Instant::now());
    assert_eq!(
        loads.at("e0", Instant::now()),
        load(1, 50),
        "a newer report replaces the older"
    );
}

#[tokio::test(start_paused = true)]
async fn silent_entry_forgotten() {
    let mut loads = Loads::default();
    loads.hear(
        &"other".into(),
        vec![("e0".into(), load(9, 0))],
        Instant::now(),
    );
    time::advance(Duration::from_secs(2)).await;
    assert_eq!(loads.at("e0", Instant::now()), Load::default());
}

#[tokio::test(start_paused = true)]
async fn silence_and_progress() {
    let mut loads = Loads::default();
    let id = conf::id::Endpoint::from("e0");
    loads.sent(&id, 100, Instant::now());
    time::advance(Duration::from_millis(600)).await;
    loads.progressed(&id, Instant::now());
    time::advance(Duration::from_millis(600)).await;
    assert!(!loads.is_silent(&id, Instant::now()));
    time::advance(Duration::from_millis(200)).await;
    assert!(loads.is_silent(&id, Instant::now()));
    loads.ended(&id);
    assert!(
        !loads.is_silent(&id, Instant::now()),
        "nothing waits there, so it may be tried"
    );
}
