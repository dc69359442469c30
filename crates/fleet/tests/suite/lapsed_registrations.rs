use std::time::Duration;

use fleet::{Replica, Stage, Update};
use tokio::time::{self, Instant};

use crate::support::{endpoint, page, removed};

/// Platform's smallest limit for sending work to an endpoint that has left.
const DEPARTURE_LIMIT: Duration = Duration::from_secs(2);

fn available_endpoints(replica: &Replica) -> usize {
    let now = Instant::now();
    replica.view(now).available("drafts", now).count()
}

fn replica_with_endpoint() -> Replica {
    let mut replica = Replica::default();
    replica.apply(
        page(vec![endpoint("e1", Stage::Ready, 1)], 1),
        Instant::now(),
    );
    replica
}

/// Guards against sending work to an endpoint that has left. An entry lost and regained its
/// connection to the store, then took the endpoint's departure for a lapse of its registration
/// (workload `scale-2`, seed 665897845032).
#[tokio::test(start_paused = true)]
async fn departure_after_outage() {
    let mut replica = replica_with_endpoint();
    replica.note_failure(Instant::now());
    time::advance(Duration::from_secs(1)).await;
    replica.apply(page(vec![removed("servers/e1", 2)], 2), Instant::now());
    assert_eq!(
        available_endpoints(&replica),
        1,
        "the registration may have lapsed during the outage"
    );
    time::advance(DEPARTURE_LIMIT - Duration::from_millis(500)).await;
    assert_eq!(
        available_endpoints(&replica),
        0,
        "the grace time ends without a call to `expire`"
    );
}

#[tokio::test(start_paused = true)]
async fn removal_without_outage() {
    let mut replica = replica_with_endpoint();
    let updates = replica.apply(page(vec![removed("servers/e1", 2)], 2), Instant::now());
    assert_eq!(updates, [Update::Gone("e1".into())]);
    assert_eq!(available_endpoints(&replica), 0);
}

#[tokio::test(start_paused = true)]
async fn registration_after_lapse() {
    let mut replica = replica_with_endpoint();
    replica.note_failure(Instant::now());
    replica.apply(page(vec![removed("servers/e1", 2)], 2), Instant::now());
    time::advance(Duration::from_millis(500)).await;
    replica.apply(
        page(vec![endpoint("e1", Stage::Ready, 3)], 3),
        Instant::now(),
    );
    time::advance(Duration::from_secs(10)).await;
    assert_eq!(available_endpoints(&replica), 1);
    assert!(replica.expire(Instant::now()).is_empty());
}

#[tokio::test(start_paused = true)]
async fn drained_endpoint_unavailable() {
    let mut replica = replica_with_endpoint();
    let draining = endpoint("e1", Stage::Draining, 2);
    replica.apply(page(vec![draining], 2), Instant::now());
    replica.note_failure(Instant::now());
    replica.apply(page(vec![removed("servers/e1", 3)], 3), Instant::now());
    assert_eq!(available_endpoints(&replica), 0);
}
