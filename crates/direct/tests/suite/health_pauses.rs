use std::time::Duration;

use direct::Health;
use tokio::time::{self, Instant};

#[tokio::test(start_paused = true)]
async fn one_break_is_chance() {
    let mut health = Health::default();
    let id = conf::id::Endpoint::from("e0");
    assert!(!health.broke(&id, Instant::now()));
    assert!(!health.is_paused(&id, Instant::now()));
    assert!(health.broke(&id, Instant::now()));
    assert!(health.is_paused(&id, Instant::now()));
    time::advance(Duration::from_secs(1)).await;
    assert!(!health.is_paused(&id, Instant::now()), "it is tried again");
    health.succeeded(&id);
    assert!(!health.broke(&id, Instant::now()), "the streak is over");
}

#[tokio::test(start_paused = true)]
async fn pauses_grow_and_end() {
    let mut health = Health::default();
    let id = conf::id::Endpoint::from("e0");
    for _ in 0..20 {
        health.broke(&id, Instant::now());
    }
    time::advance(Duration::from_secs(4)).await;
    assert!(
        !health.is_paused(&id, Instant::now()),
        "never longer than four seconds"
    );
}

#[tokio::test(start_paused = true)]
async fn failures_weigh() {
    let mut health = Health::default();
    let id = conf::id::Endpoint::from("e0");
    for _ in 0..10 {
        health.failed(&id);
    }
    let bad = health.failures(&id);
    assert!(bad > 0.6 && !health.is_paused(&id, Instant::now()), "{bad}");
    for _ in 0..20 {
        health.succeeded(&id);
    }
    assert!(health.failures(&id) < 0.1);
}

#[tokio::test(start_paused = true)]
async fn missing_is_told() {
    let (mut finder, mut other) = (Health::default(), Health::default());
    let id = conf::id::Endpoint::from("e0");
    finder.left(&id, Instant::now());
    let span = Duration::from_millis(600);
    for endpoint in finder.missing(span, Instant::now()) {
        other.hear_missing(&endpoint, Instant::now());
    }
    assert!(other.is_paused(&id, Instant::now()));
    assert!(
        other.missing(span, Instant::now()).is_empty(),
        "only the finder tells"
    );
    time::advance(span).await;
    assert!(finder.missing(span, Instant::now()).is_empty());
}
