use fleet::{Learned, Mirror, Stage};
use tokio::time::Instant;

use crate::support::{configuration, endpoint, page, removed};

fn ids(mirror: &Mirror) -> Vec<String> {
    let view = mirror.view(Instant::now());
    view.endpoints.keys().map(ToString::to_string).collect()
}

#[tokio::test(start_paused = true)]
async fn versions_never_revert() {
    let now = Instant::now();
    let mut mirror = Mirror::default();
    mirror.take(page(vec![configuration(7, 5)], 5), now);
    let learned = mirror.take(page(vec![configuration(4, 9)], 9), now);
    assert_eq!(learned, [Learned::OldVersion(4)]);
    assert_eq!(mirror.version(), 7);
    mirror.take(page(vec![removed("configuration", 10)], 10), now);
    assert_eq!(mirror.version(), 7);
}

#[tokio::test(start_paused = true)]
async fn older_page_after_newer() {
    let now = Instant::now();
    let mut mirror = Mirror::default();
    mirror.take(page(vec![endpoint("e1", Stage::Ready, 1)], 1), now);
    mirror.take(page(vec![removed("servers/e1", 4)], 4), now);
    mirror.take(page(vec![endpoint("e1", Stage::Ready, 1)], 1), now);
    assert_eq!(
        ids(&mirror),
        [""; 0],
        "a removed entry does not come back with an older page"
    );
    mirror.take(page(vec![endpoint("e1", Stage::Draining, 6)], 6), now);
    mirror.take(page(vec![endpoint("e1", Stage::Ready, 5)], 5), now);
    assert_eq!(mirror.view(now).open("drafts", now).count(), 0);
}

#[tokio::test(start_paused = true)]
async fn removal_before_its_write() {
    let now = Instant::now();
    let mut mirror = Mirror::default();
    mirror.take(page(vec![removed("servers/e1", 4)], 0), now);
    mirror.take(page(vec![endpoint("e1", Stage::Ready, 3)], 0), now);
    assert_eq!(ids(&mirror), [""; 0]);
}

#[tokio::test(start_paused = true)]
async fn listing_drops_unnamed() {
    let now = Instant::now();
    let mut mirror = Mirror::default();
    let both = vec![
        endpoint("e1", Stage::Ready, 1),
        endpoint("e2", Stage::Ready, 2),
    ];
    mirror.take(page(both, 2), now);
    let mut listing = page(vec![endpoint("e2", Stage::Ready, 2)], 8);
    listing.keys = Some(vec!["servers/e2".into()]);
    let learned = mirror.take(listing, now);
    assert_eq!(learned, [Learned::Gone("e1".into())]);
    assert_eq!(ids(&mirror), ["e2"]);
    assert_eq!(mirror.covered(), 8);
}

#[tokio::test(start_paused = true)]
async fn taught_by_peer() {
    let now = Instant::now();
    let mut teacher = Mirror::default();
    teacher.take(
        page(
            vec![configuration(3, 1), endpoint("e1", Stage::Ready, 2)],
            2,
        ),
        now,
    );
    let mut pupil = Mirror::default();
    pupil.take(teacher.since(0), now);
    teacher.take(
        page(
            vec![removed("servers/e1", 3), endpoint("e2", Stage::Ready, 4)],
            4,
        ),
        now,
    );
    let lesson = teacher.since(pupil.covered());
    assert_eq!(lesson.changes.len(), 1, "only what the pupil lacks");
    pupil.take(lesson, now);
    assert_eq!(ids(&pupil), ["e2"]);
    assert_eq!(
        (pupil.version(), pupil.covered(), pupil.newest()),
        (3, 4, 4)
    );
}
