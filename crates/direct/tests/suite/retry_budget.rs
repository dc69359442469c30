use std::time::Duration;

use conf::id;
use direct::Budget;
use tokio::time::{self, Instant};

use crate::support;

const WINDOW: Duration = Duration::from_secs(10);

/// Spends all retries that are left, and returns their number; each arrives at once.
fn spend(budget: &mut Budget, service: &id::Service, entries: usize) -> usize {
    let now = Instant::now();
    let granted = (0..1000).take_while(|_| budget.try_retry(service, entries, now).is_ok());
    let granted = granted.count();
    (0..granted).for_each(|_| budget.record_arrival(service, now));
    granted
}

#[tokio::test(start_paused = true)]
async fn equal_share_granted() {
    // Three quarters of the allowance are divided; an entry gets half of its part, at most 1.5, at once.
    for (entries, allowance, at_once) in
        [(7, 90.0, 1), (30, 90.0, 1), (40, 90.0, 0), (300, 90.0, 0)]
    {
        let mut budget = Budget::new(0.2, allowance, WINDOW, Instant::now());
        let service = "orders".into();
        time::advance(WINDOW).await;
        let mut granted = spend(&mut budget, &service, entries);
        assert_eq!(granted, at_once, "{entries} entries");
        for _ in 0..99 {
            time::advance(WINDOW / 100).await;
            granted += spend(&mut budget, &service, entries);
        }
        assert!(
            (entries * granted) as f64 <= 0.75 * allowance,
            "{entries} entries: {granted} each in a window"
        );
        assert!(entries > 30 || granted > 1, "{entries} entries");
    }
}

#[tokio::test(start_paused = true)]
async fn requests_earn_retries() {
    let mut budget = Budget::new(0.2, 0.0, WINDOW, Instant::now());
    let service = "orders".into();
    for _ in 0..50 {
        budget.record_request(&service, Instant::now());
    }
    assert_eq!(
        spend(&mut budget, &service, 7),
        5,
        "half of the ratio: the requests of the other window are none"
    );
    time::advance(WINDOW).await;
    assert_eq!(
        spend(&mut budget, &service, 7),
        0,
        "requests outside the window earn nothing"
    );
    assert_eq!(spend(&mut budget, &"other".into(), 7), 0);
}

/// Refused requests count for the fleet's limit too.
#[tokio::test(start_paused = true)]
async fn unsent_requests_earn() {
    let mut balancer = support::balancer();
    let service = "drafts".into();
    let attempt = support::attempt(&service);
    let mut sent = 0;
    for _ in 0..100 {
        let choice = balancer.choose(&support::view(2), &attempt, Instant::now());
        sent += usize::from(choice.is_ok());
    }
    let excluded = ["e0".into()];
    let retry = direct::Attempt {
        is_retry: true,
        excluded: &excluded,
        ..attempt
    };
    let mut view = support::view(2);
    view.endpoints
        .insert("e9".into(), view.endpoints["e1"].clone());
    let choice = balancer.choose(&view, &retry, Instant::now());
    let balance = choice.unwrap().retry.unwrap();
    assert!(sent < 100, "{sent} sent");
    assert_eq!(balance.requests, 100);
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
    let service = "drafts".into();
    for delay in [0, 5] {
        let mut budget = Budget::new(0.2, 0.0, WINDOW, Instant::now());
        let mut first = 0;
        // One request each 100 ms; all retries that are left at 20 s arrive after the delay.
        for tick in 0..310 {
            budget.record_request(&service, Instant::now());
            if tick == 200 {
                let granted =
                    (0..100).take_while(|_| budget.try_retry(&service, 6, Instant::now()).is_ok());
                first = granted.count();
            }
            if tick == 200 + delay * 10 {
                (0..first).for_each(|_| budget.record_arrival(&service, Instant::now()));
            }
            time::advance(Duration::from_millis(100)).await;
        }
        assert_eq!(first, 10);
        // The first ones have left the window at 31 s, and arrive within one with these if they are delayed.
        time::advance(Duration::from_millis(101)).await;
        let then = spend(&mut budget, &service, 6);
        let expected = if delay == 0 { 9..=10 } else { 4..=5 };
        assert!(expected.contains(&then), "delay of {delay} s: {then}");
    }
}
