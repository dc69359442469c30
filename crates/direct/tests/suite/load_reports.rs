use std::{collections::BTreeMap, time::Duration};

use direct::{Load, Loads};
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};
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

/// The kept sum equals that over all reports that count, whatever their order.
#[tokio::test(start_paused = true)]
async fn kept_sum_exact() {
    let mut random = SmallRng::seed_from_u64(1);
    let (mut loads, mut reports) = (Loads::default(), BTreeMap::new());
    for _ in 0..2000 {
        time::advance(Duration::from_millis(random.random_range(0..300))).await;
        let now = Instant::now();
        let entry = random.random_range(0..12);
        // An endpoint may be named twice.
        let report: Vec<(u32, Load)> = (0..random.random_range(0..6))
            .map(|_| {
                (
                    random.random_range(0..8),
                    load(random.random_range(0..4), 10),
                )
            })
            .collect();
        let named = report
            .iter()
            .map(|(e, load)| (format!("e{e}").into(), *load));
        loads.record_report(&format!("p{entry}").into(), named.collect(), now);
        reports.insert(entry, (now, report));
        for endpoint in 0..8 {
            let recent = reports
                .values()
                .filter(|(at, _)| now.duration_since(*at).as_secs() < 2);
            let all = recent.flat_map(|(_, report)| report);
            let of_endpoint = all.filter(|(e, _)| *e == endpoint);
            let expected: u32 = of_endpoint.map(|(_, load)| load.requests).sum();
            let total = loads.total(&format!("e{endpoint}"), now);
            assert_eq!(total.requests, expected);
        }
    }
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
