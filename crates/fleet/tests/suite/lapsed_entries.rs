use std::time::Duration;

use fleet::{Replica, Stage, Update};
use tokio::time::{self, Instant};

use crate::support::{endpoint, page, removed};

/// Smallest bound that the platform states for work at an endpoint that has left.
const LEAVING: Duration = Duration::from_secs(2);

fn open(replica: &Replica) -> usize {
    let now = Instant::now();
    replica.view(now).available("drafts", now).count()
}

fn known() -> Replica {
    let mut replica = Replica::default();
    replica.apply(
        page(vec![endpoint("e1", Stage::Ready, 1)], 1),
        Instant::now(),
    );
    replica
}

/// Regression of bench day `scale-2`, seed 665897845032. One entry lost the store, got it back
/// and took an endpoint's leaving for a lapse.
#[tokio::test(start_paused = true)]
async fn left_within_bound() {
    let mut replica = known();
    replica.note_failure(Instant::now());
    time::advance(Duration::from_secs(1)).await;
    replica.apply(page(vec![removed("servers/e1", 2)], 2), Instant::now());
    assert_eq!(
        open(&replica),
        1,
        "it may have lapsed while the store was away"
    );
    time::advance(LEAVING - Duration::from_millis(500)).await;
    assert_eq!(open(&replica), 0, "also without a look by the clock");
}

#[tokio::test(start_paused = true)]
async fn gone_while_calm() {
    let mut replica = known();
    let learned = replica.apply(page(vec![removed("servers/e1", 2)], 2), Instant::now());
    assert_eq!(learned, [Update::Gone("e1".into())]);
    assert_eq!(open(&replica), 0);
}

#[tokio::test(start_paused = true)]
async fn back_after_lapse() {
    let mut replica = known();
    replica.note_failure(Instant::now());
    replica.apply(page(vec![removed("servers/e1", 2)], 2), Instant::now());
    time::advance(Duration::from_millis(500)).await;
    replica.apply(
        page(vec![endpoint("e1", Stage::Ready, 3)], 3),
        Instant::now(),
    );
    time::advance(Duration::from_secs(10)).await;
    assert_eq!(open(&replica), 1);
    assert!(replica.expire(Instant::now()).is_empty());
}

#[tokio::test(start_paused = true)]
async fn draining_never_lapses() {
    let mut replica = known();
    let draining = endpoint("e1", Stage::Draining, 2);
    replica.apply(page(vec![draining], 2), Instant::now());
    replica.note_failure(Instant::now());
    replica.apply(page(vec![removed("servers/e1", 3)], 3), Instant::now());
    assert_eq!(open(&replica), 0);
}
