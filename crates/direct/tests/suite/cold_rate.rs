use std::time::Duration;

use direct::cold::Limiter;
use tokio::time::{self, Instant};

/// Simulates an entry for ten seconds; returns the requests that it sends in the busiest second and in
/// all.
async fn simulate(rate: f64, entries: usize) -> (usize, usize) {
    let (mut limiter, id) = (Limiter::new(1), conf::id::Endpoint::from("e0"));
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

/// Simulates `fleet` entries that all have a request for one cold endpoint at any time, for the three
/// seconds of its cold start; returns the requests that it gets in its busiest second. Each entry
/// assumes `assumed` entries.
async fn busiest_second(rate: f64, fleet: u64, assumed: usize, seed: u64) -> usize {
    let id = conf::id::Endpoint::from("e0");
    let mut entries: Vec<Limiter> = (0..fleet)
        .map(|entry| Limiter::new(seed * 1000 + entry))
        .collect();
    let (mut sent, step) = (Vec::new(), Duration::from_millis(10));
    for _ in 0..300 {
        let now = Instant::now();
        for limiter in &mut entries {
            if limiter.allows(&id, rate, assumed, now) {
                limiter.record_sent(&id, now);
                sent.push(now);
            }
        }
        time::advance(step).await;
    }
    let second = Duration::from_secs(1);
    let in_second = |from: &Instant| {
        sent.iter()
            .filter(|at| **at >= *from && **at < *from + second)
            .count()
    };
    sent.iter().map(in_second).max().unwrap_or(0)
}

/// Guards against a free first request of each entry. In benchmark run `lost-zone`, seed 105927460864,
/// 30 of 35 entries sent their first request to a cold endpoint in the second after it had registered.
#[tokio::test(start_paused = true)]
async fn first_requests_spread() {
    for (fleet, assumed) in [(35, 35), (99, 99), (136, 136), (790, 790), (136, 256)] {
        for seed in 0..20 {
            let peak = busiest_second(27.5, fleet, assumed, seed).await;
            assert!(
                peak as f64 <= 27.5,
                "{peak} in one second from {fleet} entries, seed {seed}"
            );
        }
    }
}

/// A fleet of few entries still uses a cold endpoint.
#[tokio::test(start_paused = true)]
async fn cold_endpoint_used() {
    assert!(busiest_second(27.5, 35, 35, 1).await >= 8);
    assert!(busiest_second(62.0, 7, 7, 1).await >= 40);
}
