use std::{collections::BTreeMap, time::Duration};

use conf::{Limit, Priority};
use fault::{ErrorKind, Run};
use gate::Outcome;

use crate::support::{Harness, TICK_INTERVAL};

const LIMIT: Limit = Limit { cold: 8, full: 8 };

/// Repeats `offers` at each tick and returns the completions per team.
async fn count_completions(
    offers: &[(&'static str, Priority, usize)],
) -> BTreeMap<(Priority, &'static str), u32> {
    let mut harness = Harness::new(LIMIT, 0);
    let mut teams = BTreeMap::new();
    let mut completions = BTreeMap::new();
    for _ in 0..300 {
        for (team, priority, count) in offers {
            for _ in 0..*count {
                teams.insert(harness.offer_as(team, *priority), (*priority, *team));
            }
        }
        harness.advance(TICK_INTERVAL).await;
        let oldest = harness.running.iter().min().copied();
        if let Some(oldest) = oldest {
            harness.finish(oldest, Outcome::Done);
            *completions.entry(teams[&oldest]).or_default() += 1;
        }
        assert!(
            harness.queue_len() <= 8,
            "at most as many wait as complete in the queue time"
        );
    }
    println!("{completions:?}");
    completions
}

impl Harness {
    fn queue_len(&self) -> u32 {
        gate::Policy::hint(&self.controller).queued
    }
}

#[tokio::test(start_paused = true)]
async fn equal_weights() {
    let normal = Priority::Normal;
    let completions = count_completions(&[("large", normal, 50), ("small", normal, 1)]).await;
    let share = completions[&(normal, "small")];
    assert!(
        share * 5 >= completions[&(normal, "large")] * 4,
        "about half of the completions"
    );
}

#[tokio::test(start_paused = true)]
async fn unequal_weights() {
    let normal = Priority::Normal;
    let completions = count_completions(&[("small", normal, 9), ("heavy", normal, 9)]).await;
    let ratio =
        f64::from(completions[&(normal, "heavy")]) / f64::from(completions[&(normal, "small")]);
    assert!((2.3..=3.8).contains(&ratio), "{ratio}");
}

#[tokio::test(start_paused = true)]
async fn strict_priority() {
    let completions =
        count_completions(&[("large", Priority::Low, 50), ("small", Priority::High, 1)]).await;
    let low = completions
        .get(&(Priority::Low, "large"))
        .copied()
        .unwrap_or(0);
    assert!(
        completions[&(Priority::High, "small")] > 20 * low.max(8) / 8,
        "{low}"
    );
}

#[tokio::test(start_paused = true)]
async fn staggered_retry_times() {
    let mut harness = Harness::new(LIMIT, 0);
    for _ in 0..50 {
        harness.offer();
        harness.advance(TICK_INTERVAL).await;
        if let Some(oldest) = harness.running.iter().min().copied() {
            harness.finish(oldest, Outcome::Done);
        }
    }
    harness.refused.clear();
    for _ in 0..200 {
        harness.offer();
    }
    assert!(
        harness.refused.len() >= 185,
        "refused without waiting in the queue"
    );
    let retry_times = harness.refused.iter().map(|(_, fault)| {
        assert_eq!(
            (fault.kind(), fault.run()),
            (ErrorKind::Overloaded, Run::No)
        );
        fault.retry_delay().unwrap()
    });
    let mut retries_per_second = BTreeMap::new();
    retry_times.for_each(|t| *retries_per_second.entry(t.as_secs()).or_insert(0) += 1);
    println!("{retries_per_second:?}");
    assert!(
        retries_per_second.values().all(|n| *n <= 20),
        "at ten completions per second"
    );
}

#[tokio::test(start_paused = true)]
async fn deadline_before_completion() {
    let mut harness = Harness::new(LIMIT, 0);
    for _ in 0..20 {
        harness.offer();
        harness.advance(Duration::from_secs(2)).await;
        harness.finish_all();
    }
    let mut descriptor = crate::support::descriptor(1000, "small", Priority::Normal);
    descriptor.deadline = tokio::time::Instant::now() + Duration::from_secs(1);
    harness.handle(gate::Event::Offer(descriptor));
    assert_eq!(harness.refusal_kind(1000), Some(ErrorKind::Overloaded));
}
