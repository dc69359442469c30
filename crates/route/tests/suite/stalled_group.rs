use std::time::Duration;

use route::{Action, Event};

use crate::support::{Harness, last_offer};

const CHUNK_INTERVAL: Duration = Duration::from_millis(200);

#[tokio::test(start_paused = true)]
async fn ejection_and_probe() {
    let mut harness = Harness::new();
    let stream = last_offer(&harness.begin(|_| {}));
    harness.admit(&stream);
    harness.progress(&stream);
    harness.advance(Duration::from_secs(2)).await;
    let other = last_offer(&harness.begin(|_| {}));
    assert!(
        !other.endpoint.starts_with('a'),
        "both endpoints of the group are ejected"
    );
    harness.advance(Duration::from_secs(2)).await;
    for _ in 0..10 {
        harness.progress(&stream);
        harness.advance(CHUNK_INTERVAL).await;
    }
    let probe = last_offer(&harness.begin(|_| {}));
    assert!(
        probe.endpoint.starts_with('a'),
        "available for a probe: {probe:?}"
    );
}

#[tokio::test(start_paused = true)]
async fn slow_client() {
    let mut harness = Harness::new();
    let (slow, other) = (
        last_offer(&harness.begin(|_| {})),
        last_offer(&harness.begin(|_| {})),
    );
    for stream in [&slow, &other] {
        harness.admit(stream);
        harness.progress(stream);
    }
    harness.handle(Event::Backpressure {
        request: slow.request.clone(),
    });
    for _ in 0..20 {
        harness.advance(CHUNK_INTERVAL).await;
        harness.progress(&other);
    }
    let next = last_offer(&harness.begin(|_| {}));
    assert!(next.endpoint.starts_with('a'), "{next:?}");
}

#[tokio::test(start_paused = true)]
async fn moved_attempt() {
    for replayable in [true, false] {
        let mut harness = Harness::new();
        let first = last_offer(&harness.begin(|d| d.replayable = replayable));
        harness.admit(&first);
        let actions = harness.advance(Duration::from_millis(1500)).await;
        if replayable {
            assert!(
                matches!(actions[0], Action::Abandon { attempt: 1, .. }),
                "{actions:?}"
            );
            let second = last_offer(&actions);
            assert!(!second.endpoint.starts_with('a'), "{second:?}");
            harness.admit(&second);
            let more = harness.advance(Duration::from_secs(10)).await;
            assert!(more.is_empty(), "moved only once: {more:?}");
        } else {
            assert!(actions.is_empty());
        }
    }
}

#[tokio::test(start_paused = true)]
async fn paused_process() {
    let mut harness = Harness::new();
    let stream = last_offer(&harness.begin(|_| {}));
    harness.admit(&stream);
    tokio::time::advance(Duration::from_secs(30)).await;
    assert!(
        harness.handle(Event::Tick).is_empty(),
        "a pause of the entry does not count as a stall"
    );
    let next = last_offer(&harness.begin(|_| {}));
    assert!(next.endpoint.starts_with('a'));
}
