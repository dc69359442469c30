use std::time::Duration;

use direct::{Attempt, Balancer, Choice, Load};
use fault::{ErrorKind, Run};
use tokio::time::Instant;

use crate::support::{SLOTS, attempt, balancer, view};

/// Sends an attempt while other entries have filled all slots of four engines.
fn choose(attempt: &Attempt<'_>) -> (Balancer, Choice) {
    let (mut balancer, now) = (balancer(), Instant::now());
    for engine in 0..4 {
        let busy = Load {
            requests: SLOTS + 1,
            pending_tokens: 0,
        };
        let loads = vec![(format!("e{engine}").into(), busy)];
        balancer.record_report(&format!("entry-{engine}").into(), loads, now);
    }
    let choice = balancer.choose(&view(4), attempt, now);
    (balancer, choice)
}

/// A client that is refused without "not run" and a time may not repeat the request, or does so at
/// once. The detail lets operators tell this refusal from full engines.
#[tokio::test(start_paused = true)]
async fn refused_by_rank() {
    let service = "drafts".into();
    let low = Attempt {
        level: 2,
        levels: 3,
        ..attempt(&service)
    };
    let mut refused = 0;
    // The seed is fixed, so another draw takes another attempt.
    let (mut balancer, _) = choose(&low);
    for _ in 0..40 {
        let Err(fault) = balancer.choose(&view(4), &low, Instant::now()) else {
            continue;
        };
        let Some(outranked) = balancer.take_outranked() else {
            continue;
        };
        refused += 1;
        assert_eq!(
            (fault.kind(), fault.run()),
            (ErrorKind::Overloaded, Run::No)
        );
        assert_eq!(fault.retry_delay(), Some(outranked.retry_after));
        let range = Duration::from_millis(500)..=Duration::from_millis(2600);
        assert!(range.contains(&outranked.retry_after), "{outranked:?}");
        assert_eq!(
            (outranked.level, outranked.bound),
            (2, f64::from(4 * SLOTS))
        );
        let detail = fault.to_string();
        assert!(
            detail.contains("more urgent requests have priority: level 2, load 2"),
            "{detail}"
        );
        assert!(detail.ends_with("bound 16"), "{detail}");
    }
    assert!(refused > 30, "{refused}");
}

/// Urgent requests, and those that were sent before, use the room that the engines have. A stream that
/// is resumed has started, and would be cut.
#[tokio::test(start_paused = true)]
async fn others_not_refused() {
    let service = "drafts".into();
    let urgent = Attempt {
        levels: 3,
        ..attempt(&service)
    };
    let repeated = Attempt {
        level: 2,
        is_retry: true,
        ..urgent.clone()
    };
    for attempt in [urgent, repeated] {
        let (mut balancer, choice) = choose(&attempt);
        assert!(choice.is_ok(), "{choice:?}");
        assert_eq!(balancer.take_outranked(), None);
    }
}
