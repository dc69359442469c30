use fleet::{Replica, Stage, Update};
use tokio::time::Instant;

use crate::support::{configuration, endpoint, page, removed};

fn ids(replica: &Replica) -> Vec<String> {
    let view = replica.view(Instant::now());
    view.endpoints.keys().map(ToString::to_string).collect()
}

#[tokio::test(start_paused = true)]
async fn versions_never_revert() {
    let now = Instant::now();
    let mut replica = Replica::default();
    replica.apply(page(vec![configuration(7, 5)], 5), now);
    let learned = replica.apply(page(vec![configuration(4, 9)], 9), now);
    assert_eq!(learned, [Update::OldVersion(4)]);
    assert_eq!(replica.version(), 7);
    replica.apply(page(vec![removed("configuration", 10)], 10), now);
    assert_eq!(replica.version(), 7);
}

#[tokio::test(start_paused = true)]
async fn older_page_after_newer() {
    let now = Instant::now();
    let mut replica = Replica::default();
    replica.apply(page(vec![endpoint("e1", Stage::Ready, 1)], 1), now);
    replica.apply(page(vec![removed("servers/e1", 4)], 4), now);
    replica.apply(page(vec![endpoint("e1", Stage::Ready, 1)], 1), now);
    assert_eq!(
        ids(&replica),
        [""; 0],
        "a removed entry does not come back with an older page"
    );
    replica.apply(page(vec![endpoint("e1", Stage::Draining, 6)], 6), now);
    replica.apply(page(vec![endpoint("e1", Stage::Ready, 5)], 5), now);
    assert_eq!(replica.view(now).available("drafts", now).count(), 0);
}

#[tokio::test(start_paused = true)]
async fn removal_before_its_write() {
    let now = Instant::now();
    let mut replica = Replica::default();
    replica.apply(page(vec![removed("servers/e1", 4)], 0), now);
    replica.apply(page(vec![endpoint("e1", Stage::Ready, 3)], 0), now);
    assert_eq!(ids(&replica), [""; 0]);
}

#[tokio::test(start_paused = true)]
async fn listing_drops_unnamed() {
    let now = Instant::now();
    let mut replica = Replica::default();
    let both = vec![
        endpoint("e1", Stage::Ready, 1),
        endpoint("e2", Stage::Ready, 2),
    ];
    replica.apply(page(both, 2), now);
    let mut listing = page(vec![endpoint("e2", Stage::Ready, 2)], 8);
    listing.keys = Some(vec!["servers/e2".into()]);
    let learned = replica.apply(listing, now);
    assert_eq!(learned, [Update::Gone("e1".into())]);
    assert_eq!(ids(&replica), ["e2"]);
    assert_eq!(replica.covered(), 8);
}

#[tokio::test(start_paused = true)]
async fn taught_by_peer() {
    let now = Instant::now();
    let mut teacher = Replica::default();
    teacher.apply(
        page(
            vec![configuration(3, 1), endpoint("e1", Stage::Ready, 2)],
            2,
        ),
        now,
    );
    let mut pupil = Replica::default();
    pupil.apply(teacher.changes_since(0), now);
    teacher.apply(
        page(
            vec![removed("servers/e1", 3), endpoint("e2", Stage::Ready, 4)],
            4,
        ),
        now,
    );
    let lesson = teacher.changes_since(pupil.covered());
    assert_eq!(lesson.changes.len(), 1, "only what the pupil lacks");
    pupil.apply(lesson, now);
    assert_eq!(ids(&pupil), ["e2"]);
    assert_eq!(
        (pupil.version(), pupil.covered(), pupil.newest()),
        (3, 4, 4)
    );
}
