use std::time::Duration;

use direct::Budget;
use tokio::time::{self, Instant};

const WINDOW: Duration = Duration::from_secs(10);

#[tokio::test(start_paused = true)]
async fn equal_share_granted() {
    let mut budget = Budget::new(0.2, 90.0, WINDOW, Instant::now());
    let service = "orders".into();
    time::advance(WINDOW).await;
    let now = Instant::now();
    let granted = (0..100)
        .filter(|_| budget.try_retry(&service, 7, now))
        .count();
    assert_eq!(granted, 12, "a seventh of 90, rounded down");
}

#[tokio::test(start_paused = true)]
async fn requests_earn_retries() {
    let mut budget = Budget::new(0.2, 0.0, WINDOW, Instant::now());
    let service = "orders".into();
    for _ in 0..50 {
        budget.record_request(&service, Instant::now());
    }
    let granted = (0..100)
        .filter(|_| budget.try_retry(&service, 7, Instant::now()))
        .count();
    assert_eq!(granted, 10);
    time::advance(WINDOW).await;
    assert!(
        !budget.try_retry(&service, 7, Instant::now()),
        "requests outside the window earn nothing"
    );
    assert!(!budget.try_retry(&"other".into(), 7, Instant::now()));
}

/// Guards against too many retries after a simultaneous start. In benchmark run `trouble-1`, 35 entries
/// restarted after a power loss, each knew only a few others, and together they sent 1,265 retries in
/// ten seconds.
#[tokio::test(start_paused = true)]
async fn startup_retries_limited() {
    let mut budget = Budget::new(0.2, 208.0, WINDOW, Instant::now());
    let service = "drafts".into();
    time::advance(WINDOW / 2).await;
    let granted = (0..100).filter(|_| budget.try_retry(&service, 8, Instant::now()));
    let granted = granted.count();
    assert!(35 * granted < 208, "{granted}");
}
