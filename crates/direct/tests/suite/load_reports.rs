use std::time::Duration;

use direct::{Load, Loads};
use tokio::time::{self, Instant};

const fn load(requests: u32, pending_tokens: u32) -> Load {
    Load {
        requests,
        pending_tokens,
    }
}

#[tokio::test(start_paused = true)]
async fn reported_load_added() {
    let mut loads = Loads::default();
    let id = conf::id::Endpoint::from("e0");
    loads.record_sent(&id, 100, Instant::now());
    loads.record_sent(&id, 50, Instant::now());
    loads.record_report(
        &"other".into(),
        vec![("e0".into(), load(2, 10))],
        Instant::now(),
    );
    assert_eq!(loads.total("e0", Instant::now()), load(4, 160));
    loads.record_response_start("e0", 100);
    loads.record_end("e0");
    assert_eq!(loads.total("e0", Instant::now()), load(3, 60));
    loads.record_report(&"other".into(), Vec::new(), Instant::now());
    assert_eq!(
        loads.total("e0", Instant::now()),
        load(1, 50),
        "a newer report replaces the older"
    );
}

#[tokio::test(start_paused = true)]
async fn old_report_ignored() {
    let mut loads = Loads::default();
    loads.record_report(
        &"other".into(),
        vec![("e0".into(), load(9, 0))],
        Instant::now(),
    );
    time::advance(Duration::from_secs(2)).await;
    assert_eq!(loads.total("e0", Instant::now()), Load::default());
}

#[tokio::test(start_paused = true)]
async fn unresponsive_without_progress() {
    let mut loads = Loads::default();
    let id = conf::id::Endpoint::from("e0");
    loads.record_sent(&id, 100, Instant::now());
    time::advance(Duration::from_millis(600)).await;
    loads.record_progress(&id, Instant::now());
    time::advance(Duration::from_millis(600)).await;
    assert!(!loads.is_unresponsive(&id, Instant::now()));
    time::advance(Duration::from_millis(200)).await;
    assert!(loads.is_unresponsive(&id, Instant::now()));
    loads.record_end(&id);
    assert!(
        !loads.is_unresponsive(&id, Instant::now()),
        "no request is in flight, so the endpoint may be tried"
    );
}
