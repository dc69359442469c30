use std::time::Duration;

use direct::Suspects;
use tokio::time::{self, Instant};

#[tokio::test(start_paused = true)]
async fn twice_is_enough() {
    let mut suspects = Suspects::default();
    let now = Instant::now();
    suspects.crashed(7, 1, now);
    suspects.crashed(7, 1, now);
    assert!(suspects.allows(7, now), "one crash that was told twice");
    suspects.crashed(7, 2, now);
    assert!(!suspects.allows(7, now));
    assert!(suspects.allows(8, now), "a neighbour that ran beside it");
}

#[tokio::test(start_paused = true)]
async fn spread_and_forgotten() {
    let (mut seen, mut told) = (Suspects::default(), Suspects::default());
    seen.crashed(7, 1, Instant::now());
    seen.crashed(7, 2, Instant::now());
    for (fingerprint, crash) in seen.recent(Duration::from_secs(2), Instant::now()) {
        told.crashed(fingerprint, crash, Instant::now());
    }
    assert!(!told.allows(7, Instant::now()));
    time::advance(Duration::from_secs(61)).await;
    assert!(told.allows(7, Instant::now()));
    assert!(
        seen.recent(Duration::from_secs(2), Instant::now())
            .is_empty()
    );
}
