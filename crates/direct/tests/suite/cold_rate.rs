use std::time::Duration;

use direct::Cold;
use tokio::time::{self, Instant};

/// Counts what an entry sends in the busiest second of ten.
async fn busiest(rate: f64, entries: usize) -> (usize, usize) {
    let (mut cold, id) = (Cold::default(), conf::id::Endpoint::from("e0"));
    let mut sent: Vec<Instant> = Vec::new();
    for _ in 0..2000 {
        if cold.allows(&id, rate, entries, Instant::now()) {
            cold.sent(&id, Instant::now());
            sent.push(Instant::now());
        }
        time::advance(Duration::from_millis(5)).await;
    }
    let second = Duration::from_secs(1);
    let in_second = |from: &Instant| {
        sent.iter()
            .filter(|at| **at >= *from && **at < *from + second)
            .count()
    };
    (sent.iter().map(in_second).max().unwrap_or(0), sent.len())
}

#[tokio::test(start_paused = true)]
async fn share_of_few() {
    let (most, all) = busiest(62.0, 7).await;
    assert!(most <= 62 / 7, "{most}");
    assert!(all >= 60);
}

/// Found by reasoning about the largest sites: 35 entries that each round up would send 35 a second.
#[tokio::test(start_paused = true)]
async fn share_below_one() {
    let (most, all) = busiest(27.0, 35).await;
    assert_eq!(most, 1);
    assert!(all as f64 / 10.0 <= 27.0 / 35.0, "{all} in ten seconds");
}
