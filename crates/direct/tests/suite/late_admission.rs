use std::time::Duration;

use direct::{Durations, Grace};
use proptest::prelude::*;
use tokio::time::{self, Instant};

const SECOND: Duration = Duration::from_secs(1);

proptest! {
    /// Guards against requests that are taken although the process may exit before they are complete (LOST), for any
    /// grace period: what is taken late ends by its deadline, and what is usually too long is never taken.
    #[test]
    fn taken_requests_end(
        period_ms in 500_u64..60_000,
        age_ms in 0_u64..60_000,
        timeout_ms in 1_u64..60_000,
        usual_ms in proptest::option::of(1_u64..60_000),
    ) {
        let (now, period) = (Instant::now(), Duration::from_millis(period_ms));
        let grace = Grace::new(period);
        prop_assert!(grace.admits(now + 999 * SECOND, None, now), "before the shutdown");
        let end = grace.start(now);
        prop_assert_eq!(end, grace.start(now + SECOND), "a repeated signal changes nothing");
        prop_assert!(end <= now + period);
        let arrived = now + Duration::from_millis(age_ms);
        let deadline = arrived + Duration::from_millis(timeout_ms);
        let usual = usual_ms.map(Duration::from_millis);
        let is_taken = grace.admits(deadline, usual, arrived);
        if deadline <= end {
            prop_assert!(is_taken);
        } else if age_ms >= 3000 || usual.is_some_and(|usual| arrived + usual > end) {
            prop_assert!(!is_taken);
        }
    }
}

#[tokio::test(start_paused = true)]
async fn usual_duration_learned() {
    let (mut durations, route) = (Durations::default(), "drafts".into());
    assert_eq!(durations.usual("drafts"), None);
    for number in 1..=100 {
        durations.record(&route, number * SECOND / 10, Instant::now());
    }
    let usual = durations.usual("drafts").unwrap();
    assert!(usual > 8 * SECOND && usual < 11 * SECOND, "{usual:?}");
    assert_eq!(durations.usual("orders"), None);
    for _ in 0..3 {
        time::advance(31 * SECOND).await;
        for _ in 0..20 {
            durations.record(&route, SECOND, Instant::now());
        }
    }
    assert!(
        durations.usual("drafts").unwrap() < 2 * SECOND,
        "old ones are forgotten"
    );
}
