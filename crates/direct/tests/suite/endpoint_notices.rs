use std::time::Duration;

use direct::Outcome;
use fault::{ErrorKind, Run};
use tokio::time::{self, Instant};

use crate::support::{attempt, balancer, endpoint, view};

/// Longest time for which a registration that was lost with the store's latest writes may stay away.
const ABSENCE: Duration = Duration::from_secs(20);

#[tokio::test(start_paused = true)]
async fn leaving_endpoint_skipped() {
    let (mut balancer, view, service) = (balancer(), view(2), "drafts".into());
    let placement = balancer
        .choose(&view, &attempt(&service), Instant::now())
        .unwrap();
    assert!(balancer.record_leaving(&placement, Instant::now()));
    assert!(
        !balancer.record_leaving(&placement, Instant::now()),
        "known"
    );
    balancer.record_outcome(&placement, Outcome::Whole, Instant::now());
    for _ in 0..60 {
        let next = balancer.choose(&view, &attempt(&service), Instant::now());
        if let Ok(next) = next {
            assert_ne!(next.endpoint, placement.endpoint);
            balancer.record_outcome(&next, Outcome::Whole, Instant::now());
        }
        time::advance(Duration::from_secs(1)).await;
    }
}

/// Guards against use of an endpoint that left after its registration was away for a while, as when a
/// store comes back from an older copy.
#[tokio::test(start_paused = true)]
async fn departure_outlives_registration() {
    let (mut balancer, view, service) = (balancer(), view(1), "drafts".into());
    let placement = balancer
        .choose(&view, &attempt(&service), Instant::now())
        .unwrap();
    balancer.record_leaving(&placement, Instant::now());
    balancer.retain_known(&fleet::View::default(), Instant::now());
    time::advance(ABSENCE).await;
    balancer.retain_known(&fleet::View::default(), Instant::now());
    let choice = balancer.choose(&view, &attempt(&service), Instant::now());
    assert_eq!(choice.unwrap_err().kind(), ErrorKind::NoEndpoint);
}

#[tokio::test(start_paused = true)]
async fn restarted_endpoint_used() {
    let (mut balancer, mut view, service) = (balancer(), view(1), "drafts".into());
    balancer.record_reported_departure(&"e0".into(), 1, Instant::now());
    assert!(
        balancer
            .choose(&view, &attempt(&service), Instant::now())
            .is_err()
    );
    let mut restarted = endpoint("drafts", "a", ([127, 0, 0, 1], 1000).into());
    restarted.started_ms = 2;
    view.endpoints.get_mut("e0").unwrap().endpoint = restarted.into();
    assert!(
        balancer
            .choose(&view, &attempt(&service), Instant::now())
            .is_ok()
    );
}

#[tokio::test(start_paused = true)]
async fn departures_reported() {
    let mut balancer = balancer();
    for index in 0..20 {
        balancer.record_reported_departure(&format!("e{index}").into(), 1, Instant::now());
        time::advance(Duration::from_millis(10)).await;
    }
    let recent = balancer.recent_departures(16, Instant::now());
    assert_eq!((recent.len(), recent[0].0.as_str()), (16, "e19"));
    time::advance(Duration::from_secs(60)).await;
    assert!(balancer.recent_departures(16, Instant::now()).is_empty());
}

/// Guards against a longer pause that is cut to a minute.
#[tokio::test(start_paused = true)]
async fn long_pause_respected() {
    let (mut balancer, view, service) = (balancer(), view(1), "drafts".into());
    let placement = balancer
        .choose(&view, &attempt(&service), Instant::now())
        .unwrap();
    balancer.record_pause(&placement, Duration::from_secs(90), Instant::now());
    balancer.record_outcome(&placement, Outcome::Declined, Instant::now());
    for _ in 0..89 {
        time::advance(Duration::from_secs(1)).await;
        balancer.retain_known(&view, Instant::now());
        assert!(
            balancer
                .choose(&view, &attempt(&service), Instant::now())
                .is_err()
        );
    }
    time::advance(Duration::from_secs(2)).await;
    assert!(
        balancer
            .choose(&view, &attempt(&service), Instant::now())
            .is_ok()
    );
}

#[tokio::test(start_paused = true)]
async fn pause_respected() {
    let (mut balancer, view, service) = (balancer(), view(2), "drafts".into());
    let placement = balancer
        .choose(&view, &attempt(&service), Instant::now())
        .unwrap();
    balancer.record_pause(&placement, Duration::from_secs(3), Instant::now());
    balancer.record_pause(&placement, Duration::from_secs(1), Instant::now());
    balancer.record_outcome(&placement, Outcome::Declined, Instant::now());
    for _ in 0..29 {
        let next = balancer
            .choose(&view, &attempt(&service), Instant::now())
            .unwrap();
        assert_ne!(next.endpoint, placement.endpoint);
        balancer.record_outcome(&next, Outcome::Whole, Instant::now());
        time::advance(Duration::from_millis(100)).await;
    }
    time::advance(Duration::from_secs(1)).await;
    let mut chosen = Vec::new();
    for _ in 0..4 {
        let next = balancer
            .choose(&view, &attempt(&service), Instant::now())
            .unwrap();
        chosen.push(next.endpoint);
    }
    assert!(chosen.contains(&placement.endpoint), "the pause is over");
}

/// Load pattern: all endpoints are so full that they name a time; clients are told the first of these.
#[tokio::test(start_paused = true)]
async fn first_pause_end_stated() {
    let (mut balancer, view, service) = (balancer(), view(2), "drafts".into());
    for pause in [4, 2] {
        let placement = balancer
            .choose(&view, &attempt(&service), Instant::now())
            .unwrap();
        balancer.record_pause(&placement, Duration::from_secs(pause), Instant::now());
        balancer.record_outcome(&placement, Outcome::Declined, Instant::now());
    }
    let fault = balancer
        .choose(&view, &attempt(&service), Instant::now())
        .unwrap_err();
    assert_eq!(
        (fault.kind(), fault.run(), fault.retry_delay()),
        (ErrorKind::Overloaded, Run::No, Some(Duration::from_secs(2)))
    );
}

/// Guards against requests to an endpoint that has just declined one while another has room.
#[tokio::test(start_paused = true)]
async fn declining_endpoint_avoided() {
    let (mut balancer, view, service) = (balancer(), view(2), "drafts".into());
    let placement = balancer
        .choose(&view, &attempt(&service), Instant::now())
        .unwrap();
    balancer.record_outcome(&placement, Outcome::Declined, Instant::now());
    for _ in 0..3 {
        let next = balancer
            .choose(&view, &attempt(&service), Instant::now())
            .unwrap();
        assert_ne!(next.endpoint, placement.endpoint);
    }
}
