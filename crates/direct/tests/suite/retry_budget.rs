use std::time::Duration;

use direct::Budget;
use tokio::time::{self, Instant};

const WINDOW: Duration = Duration::from_secs(10);

#[tokio::test(start_paused = true)]
async fn share_of_extra() {
    let mut budget = Budget::new(0.2, 90.0, WINDOW, Instant::now());
    let service = "orders".into();
    time::advance(WINDOW).await;
    let now = Instant::now();
    let granted = (0..100).filter(|_| budget.again(&service, 7, now)).count();
    assert_eq!(granted, 12, "a seventh of 90");
}

#[tokio::test(start_paused = true)]
async fn earned_by_requests() {
    let mut budget = Budget::new(0.2, 0.0, WINDOW, Instant::now());
    let service = "orders".into();
    for _ in 0..50 {
        budget.first(&service, Instant::now());
    }
    let granted = (0..100)
        .filter(|_| budget.again(&service, 7, Instant::now()))
        .count();
    assert_eq!(granted, 10);
    time::advance(WINDOW).await;
    assert!(
        !budget.again(&service, 7, Instant::now()),
        "old requests earn nothing"
    );
    assert!(!budget.again(&"other".into(), 7, Instant::now()));
}

/// Regression of bench day `trouble-1` on 35 entries: after a loss of power 35 entries, each of which knew
/// of a few others only, sent 1,265 repeats in ten seconds.
#[tokio::test(start_paused = true)]
async fn few_right_after_start() {
    let mut budget = Budget::new(0.2, 208.0, WINDOW, Instant::now());
    let service = "drafts".into();
    time::advance(WINDOW / 2).await;
    let granted = (0..100).filter(|_| budget.again(&service, 8, Instant::now()));
    let granted = granted.count();
    assert!(35 * granted < 208, "{granted}");
}
