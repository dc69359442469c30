use std::time::Duration;

use direct::Suspects;
use tokio::time::{self, Instant};

#[tokio::test(start_paused = true)]
async fn second_crash_blocks() {
    let mut suspects = Suspects::default();
    let now = Instant::now();
    suspects.record_crash(7, 1, now);
    suspects.record_crash(7, 1, now);
    assert!(suspects.allows(7, now), "the same crash, reported twice");
    suspects.record_crash(7, 2, now);
    assert!(!suspects.allows(7, now));
    assert!(
        suspects.allows(8, now),
        "another request that ran at the same time"
    );
}

#[tokio::test(start_paused = true)]
async fn shared_crashes_expire() {
    let (mut observer, mut other) = (Suspects::default(), Suspects::default());
    observer.record_crash(7, 1, Instant::now());
    observer.record_crash(7, 2, Instant::now());
    for (fingerprint, crash) in observer.recent(Duration::from_secs(2), Instant::now()) {
        other.record_crash(fingerprint, crash, Instant::now());
    }
    assert!(!other.allows(7, Instant::now()));
    time::advance(Duration::from_secs(61)).await;
    assert!(other.allows(7, Instant::now()));
    assert!(
        observer
            .recent(Duration::from_secs(2), Instant::now())
            .is_empty()
    );
}
