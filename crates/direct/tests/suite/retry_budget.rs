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
        .filter(|_| budget.try_retry(&service, 7, now).is_ok())
        .count();
    assert_eq!(
        granted, 9,
        "a seventh of 90 without the reserve for restarted entries, rounded down"
    );
}

#[tokio::test(start_paused = true)]
async fn requests_earn_retries() {
    let mut budget = Budget::new(0.2, 0.0, WINDOW, Instant::now());
    let service = "orders".into();
    for _ in 0..50 {
        budget.record_request(&service, Instant::now());
    }
    let granted = (0..100)
        .filter(|_| budget.try_retry(&service, 7, Instant::now()).is_ok())
        .count();
    assert_eq!(granted, 10);
    time::advance(WINDOW).await;
    assert!(
        budget.try_retry(&service, 7, Instant::now()).is_err(),
        "requests outside the window earn nothing"
    );
    assert!(
        budget
            .try_retry(&"other".into(), 7, Instant::now())
            .is_err()
    );
}

/// Guards against too many retries after a simultaneous start. In benchmark run `trouble-1`, 35 entries
/// restarted after a power loss, each knew only a few others, and together they sent 1,265 retries in
/// ten seconds.
#[tokio::test(start_paused = true)]
async fn startup_retries_limited() {
    let mut budget = Budget::new(0.2, 208.0, WINDOW, Instant::now());
    let service = "drafts".into();
    time::advance(WINDOW / 2).await;
    let granted = (0..100).filter(|_| budget.try_retry(&service, 8, Instant::now()).is_ok());
    let granted = granted.count();
    assert!(35 * granted < 208, "{granted}");
}

/// Guards against a restart that earns the fixed allowance again, on a fleet of any size. In benchmark
/// run `trouble-1` of the largest site, 99 entries restarted after a power loss, and each took a 64th
/// of the fleet's 448 retries.
#[tokio::test(start_paused = true)]
async fn restarted_fleet_limited() {
    for (fleet, allowance) in [(7, 90), (35, 208), (99, 448), (790, 3555)] {
        let service = "drafts".into();
        let count = |budget: &mut Budget| {
            let retries =
                (0..1000).filter(|_| budget.try_retry(&service, fleet, Instant::now()).is_ok());
            fleet * retries.count()
        };
        let mut budget = Budget::new(0.2, f64::from(allowance), WINDOW, Instant::now());
        time::advance(WINDOW).await;
        let before = count(&mut budget);
        let mut restarted = Budget::new(0.2, f64::from(allowance), WINDOW, Instant::now());
        time::advance(WINDOW / 2).await;
        let after = count(&mut restarted);
        assert!(
            before + after <= allowance as usize,
            "{before} and {after} of {fleet} entries"
        );
    }
}

/// Guards against retries that are sent within two windows and arrive within one, since some were
/// delayed.
#[tokio::test(start_paused = true)]
async fn delayed_retries_counted() {
    let mut budget = Budget::new(0.0, 80.0, WINDOW, Instant::now());
    let service = "drafts".into();
    time::advance(WINDOW).await;
    let retry = |budget: &mut Budget| budget.try_retry(&service, 6, Instant::now()).is_ok();
    assert_eq!((0..100).filter(|_| retry(&mut budget)).count(), 10);
    time::advance(WINDOW + Duration::from_millis(500)).await;
    assert!(!retry(&mut budget), "the first ones may arrive late");
    time::advance(Duration::from_millis(501)).await;
    assert!(retry(&mut budget));
}
