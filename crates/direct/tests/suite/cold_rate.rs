use std::time::Duration;

use direct::cold::Limiter;
use tokio::time::{self, Instant};

/// Simulates an entry for ten seconds; returns the requests that it sends in the busiest second and in
/// all.
async fn simulate(rate: f64, entries: usize) -> (usize, usize) {
    let (mut limiter, id) = (Limiter::default(), conf::id::Endpoint::from("e0"));
    let mut sent: Vec<Instant> = Vec::new();
    for _ in 0..2000 {
        if limiter.allows(&id, rate, entries, Instant::now()) {
            limiter.record_sent(&id, Instant::now());
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
async fn entry_share_respected() {
    let (peak, total) = simulate(62.0, 7).await;
    assert!(peak <= 62 / 7, "{peak}");
    assert!(total >= 60);
}

/// Guards against rounding up: on the largest sites 35 entries that each round up to one request a
/// second would send 35 a second together.
#[tokio::test(start_paused = true)]
async fn fractional_share_respected() {
    let (peak, total) = simulate(27.0, 35).await;
    assert_eq!(peak, 1);
    assert!(total as f64 / 10.0 <= 27.0 / 35.0, "{total} in ten seconds");
}
