use std::time::Duration;

use conf::Limit;
use gate::{Event, Outcome, Status};

use crate::support::Harness;

const LIMIT: Limit = Limit { cold: 2, full: 24 };
/// Number of offers per round from entries that all select the same endpoint.
const OFFERS: u32 = 200;
/// Time that an attempt takes.
const SERVICE_TIME: Duration = Duration::from_millis(500);

#[tokio::test(start_paused = true)]
async fn ramp_under_overload() {
    let mut harness = Harness::new(LIMIT, 0);
    let mut limits = vec![harness.limit()];
    for _ in 0..40 {
        for _ in 0..OFFERS {
            harness.offer();
            assert!(harness.running.len() <= harness.limit() as usize);
        }
        harness.advance(SERVICE_TIME).await;
        harness.finish_all();
        limits.push(harness.limit());
        assert!(harness.running.len() <= harness.limit() as usize);
    }
    assert_eq!(limits[..10], [2; 10], "the cold limit holds for 5 s");
    assert_eq!(harness.limit(), LIMIT.full);
    let rounds = limits.iter().position(|l| *l == LIMIT.full).unwrap();
    println!("full limit after {:?}", SERVICE_TIME * rounds as u32);
    assert!(SERVICE_TIME * rounds as u32 <= Duration::from_secs(15));
}

#[tokio::test(start_paused = true)]
async fn ramp_needs_load() {
    let mut harness = Harness::new(LIMIT, 0);
    for _ in 0..40 {
        harness.offer();
        harness.advance(SERVICE_TIME).await;
        harness.finish_all();
    }
    assert!(
        harness.limit() <= 3,
        "single attempts do not raise the limit far"
    );
}

#[tokio::test(start_paused = true)]
async fn reset_after_restart() {
    let events = [
        Event::Status(Status::Restarted),
        Event::Status(Status::Down),
        Event::Finished {
            request: "1".into(),
            attempt: 1,
            outcome: Outcome::Disconnected,
        },
    ];
    for event in events {
        let mut harness = Harness::new(Limit { cold: 2, full: 2 }, 0);
        let earlier = harness.offer();
        harness.apply(1, crate::support::document(LIMIT));
        harness.handle(event.clone());
        assert_eq!((earlier, harness.limit()), (1, 2));
        harness.advance(Duration::from_millis(400)).await;
        harness.report_load(1);
        for _ in 0..OFFERS {
            harness.offer();
        }
        assert_eq!(harness.running.len() - 1, 1, "{event:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn inherited_attempts() {
    let mut harness = Harness::new(LIMIT, 2);
    harness.offer();
    assert!(
        harness.running.is_empty(),
        "the engine still runs two earlier attempts"
    );
    harness.report_load(1);
    assert_eq!(harness.running.len(), 1);
    harness.report_load(9);
    harness.offer();
    assert_eq!(
        harness.running.len(),
        1,
        "a higher report does not add inherited attempts"
    );
}

#[tokio::test(start_paused = true)]
async fn slow_first_chunks() {
    let mut harness = Harness::new(LIMIT, 0);
    let mut run_pair = async |time| {
        for number in [harness.offer(), harness.offer()] {
            assert!(harness.running.contains(&number));
        }
        harness.advance(time).await;
        for number in harness.running.clone() {
            let request = number.to_string().into();
            let attempt = 1;
            harness.handle(Event::FirstChunk { request, attempt });
        }
        harness.finish_all();
        harness.limit()
    };
    let mut limit = 0;
    for _ in 0..80 {
        limit = run_pair(Duration::from_millis(100)).await;
    }
    assert_eq!(limit, 6, "two in flight are half of four but not of six");
    for _ in 0..5 {
        run_pair(Duration::from_millis(200)).await;
        limit = run_pair(Duration::from_millis(50)).await;
    }
    assert_eq!(
        limit, 6,
        "cached and uncached prefixes in turn do not reset it"
    );
    for _ in 0..6 {
        limit = run_pair(Duration::from_millis(900)).await;
    }
    assert_eq!(limit, LIMIT.cold);
}
