use std::time::Duration;

use route::{Action, Event};

use crate::support::{Bench, offer};

const STEP: Duration = Duration::from_millis(200);

#[tokio::test(start_paused = true)]
async fn out_and_back() {
    let mut bench = Bench::new();
    let stream = offer(&bench.begin(|_| {}));
    bench.admit(&stream);
    bench.progress(&stream);
    bench.pass(Duration::from_secs(2)).await;
    let other = offer(&bench.begin(|_| {}));
    assert!(
        !other.endpoint.starts_with('a'),
        "both endpoints of the group are out"
    );
    bench.pass(Duration::from_secs(2)).await;
    for _ in 0..10 {
        bench.progress(&stream);
        bench.pass(STEP).await;
    }
    let trial = offer(&bench.begin(|_| {}));
    assert!(trial.endpoint.starts_with('a'), "probation: {trial:?}");
}

#[tokio::test(start_paused = true)]
async fn slow_caller() {
    let mut bench = Bench::new();
    let (slow, other) = (offer(&bench.begin(|_| {})), offer(&bench.begin(|_| {})));
    for stream in [&slow, &other] {
        bench.admit(stream);
        bench.progress(stream);
    }
    bench.tell(Event::Backpressure {
        request: slow.request.clone(),
    });
    for _ in 0..20 {
        bench.pass(STEP).await;
        bench.progress(&other);
    }
    let next = offer(&bench.begin(|_| {}));
    assert!(next.endpoint.starts_with('a'), "{next:?}");
}

#[tokio::test(start_paused = true)]
async fn moved_work() {
    for replayable in [true, false] {
        let mut bench = Bench::new();
        let first = offer(&bench.begin(|ask| ask.replayable = replayable));
        bench.admit(&first);
        let actions = bench.pass(Duration::from_millis(1500)).await;
        if replayable {
            assert!(
                matches!(actions[0], Action::Abandon { attempt: 1, .. }),
                "{actions:?}"
            );
            let second = offer(&actions);
            assert!(!second.endpoint.starts_with('a'), "{second:?}");
            bench.admit(&second);
            let more = bench.pass(Duration::from_secs(10)).await;
            assert!(more.is_empty(), "moved once only: {more:?}");
        } else {
            assert!(actions.is_empty());
        }
    }
}

#[tokio::test(start_paused = true)]
async fn paused_entry() {
    let mut bench = Bench::new();
    let stream = offer(&bench.begin(|_| {}));
    bench.admit(&stream);
    tokio::time::advance(Duration::from_secs(30)).await;
    assert!(
        bench.tell(Event::Tick).is_empty(),
        "its own pause is no stall"
    );
    let next = offer(&bench.begin(|_| {}));
    assert!(next.endpoint.starts_with('a'));
}
