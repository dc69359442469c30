use std::time::Duration;

use direct::Health;
use tokio::time::{self, Instant};

#[tokio::test(start_paused = true)]
async fn second_failure_ejects() {
    let mut health = Health::default();
    let id = conf::id::Endpoint::from("e0");
    assert!(!health.record_connection_failure(&id, Instant::now()));
    assert!(!health.is_ejected(&id, Instant::now()));
    assert!(health.record_connection_failure(&id, Instant::now()));
    assert!(health.is_ejected(&id, Instant::now()));
    time::advance(Duration::from_secs(1)).await;
    assert!(
        !health.is_ejected(&id, Instant::now()),
        "the ejection has ended"
    );
    health.record_success(&id);
    assert!(
        !health.record_connection_failure(&id, Instant::now()),
        "a success resets the count"
    );
}

#[tokio::test(start_paused = true)]
async fn ejection_time_limited() {
    let mut health = Health::default();
    let id = conf::id::Endpoint::from("e0");
    for _ in 0..20 {
        health.record_connection_failure(&id, Instant::now());
    }
    time::advance(Duration::from_secs(4)).await;
    assert!(
        !health.is_ejected(&id, Instant::now()),
        "an ejection never lasts longer than four seconds"
    );
}

#[tokio::test(start_paused = true)]
async fn failure_rate_adapts() {
    let mut health = Health::default();
    let id = conf::id::Endpoint::from("e0");
    for _ in 0..10 {
        health.record_error(&id);
    }
    let bad = health.failure_rate(&id);
    assert!(
        bad > 0.6 && !health.is_ejected(&id, Instant::now()),
        "{bad}"
    );
    for _ in 0..20 {
        health.record_success(&id);
    }
    assert!(health.failure_rate(&id) < 0.1);
}

#[tokio::test(start_paused = true)]
async fn missing_is_reported() {
    let (mut finder, mut other) = (Health::default(), Health::default());
    let id = conf::id::Endpoint::from("e0");
    finder.record_missing(&id, Instant::now());
    let span = Duration::from_millis(600);
    for endpoint in finder.recently_missing(span, Instant::now()) {
        other.record_reported_missing(&endpoint, Instant::now());
    }
    assert!(other.is_ejected(&id, Instant::now()));
    assert!(
        other.recently_missing(span, Instant::now()).is_empty(),
        "only the entry that found it reports it"
    );
    time::advance(span).await;
    assert!(finder.recently_missing(span, Instant::now()).is_empty());
}
