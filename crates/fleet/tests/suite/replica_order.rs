use fleet::{Replica, Stage, Update};
use tokio::time::Instant;

use crate::support::{configuration, endpoint, endpoint_at, page, removed};

fn endpoint_ids(replica: &Replica) -> Vec<String> {
    let view = replica.view(Instant::now());
    view.endpoints.keys().map(ToString::to_string).collect()
}

#[tokio::test(start_paused = true)]
async fn version_never_decreases() {
    let now = Instant::now();
    let mut replica = Replica::default();
    replica.apply(page(vec![configuration(7, 5)], 5), now);
    let updates = replica.apply(page(vec![configuration(4, 9)], 9), now);
    assert_eq!(updates, [Update::OldVersion(4)]);
    assert_eq!(replica.version(), 7);
    replica.apply(page(vec![removed("configuration", 10)], 10), now);
    assert_eq!(replica.version(), 7);
}

#[tokio::test(start_paused = true)]
async fn older_page_ignored() {
    let now = Instant::now();
    let mut replica = Replica::default();
    replica.apply(page(vec![endpoint("e1", Stage::Ready, 1)], 1), now);
    replica.apply(page(vec![removed("servers/e1", 4)], 4), now);
    replica.apply(page(vec![endpoint("e1", Stage::Ready, 1)], 1), now);
    assert_eq!(
        endpoint_ids(&replica),
        [""; 0],
        "an older page does not restore a removed registration"
    );
    replica.apply(page(vec![endpoint("e1", Stage::Draining, 6)], 6), now);
    replica.apply(page(vec![endpoint("e1", Stage::Ready, 5)], 5), now);
    assert_eq!(replica.view(now).available("drafts", now).count(), 0);
}

#[tokio::test(start_paused = true)]
async fn older_write_ignored() {
    let now = Instant::now();
    let mut replica = Replica::default();
    replica.apply(page(vec![removed("servers/e1", 4)], 0), now);
    replica.apply(page(vec![endpoint("e1", Stage::Ready, 3)], 0), now);
    assert_eq!(endpoint_ids(&replica), [""; 0]);
}

#[tokio::test(start_paused = true)]
async fn unlisted_items_removed() {
    let now = Instant::now();
    let mut replica = Replica::default();
    let both = vec![
        endpoint("e1", Stage::Ready, 1),
        endpoint("e2", Stage::Ready, 2),
    ];
    replica.apply(page(both, 2), now);
    let mut listing = page(vec![endpoint("e2", Stage::Ready, 2)], 8);
    listing.keys = Some(vec!["servers/e2".into()]);
    let updates = replica.apply(listing, now);
    assert_eq!(updates, [Update::Gone("e1".into())]);
    assert_eq!(endpoint_ids(&replica), ["e2"]);
    assert_eq!(replica.covered(), 8.into());
}

#[tokio::test(start_paused = true)]
async fn changes_from_peer() {
    let now = Instant::now();
    let mut sender = Replica::default();
    sender.apply(
        page(
            vec![configuration(3, 1), endpoint("e1", Stage::Ready, 2)],
            2,
        ),
        now,
    );
    let mut receiver = Replica::default();
    receiver.apply(sender.changes_since(0.into()), now);
    sender.apply(
        page(
            vec![removed("servers/e1", 3), endpoint("e2", Stage::Ready, 4)],
            4,
        ),
        now,
    );
    let missing = sender.changes_since(receiver.covered());
    assert_eq!(
        missing.changes.len(),
        1,
        "only the changes that the receiver lacks"
    );
    receiver.apply(missing, now);
    assert_eq!(endpoint_ids(&receiver), ["e2"]);
    assert_eq!(
        (receiver.version(), receiver.covered(), receiver.newest()),
        (3, 4.into(), 4.into())
    );
}

/// Guards against requests to an endpoint whose server has restarted under another id. In benchmark run
/// `trouble-1` of the largest site, all servers restarted, and requests were sent to five earlier ones
/// each before their registrations expired.
#[tokio::test(start_paused = true)]
async fn superseded_endpoint_removed() {
    let now = Instant::now();
    let mut replica = Replica::default();
    let both = vec![
        endpoint_at("old", 8080, 1, 1),
        endpoint_at("other", 8081, 1, 2),
    ];
    replica.apply(page(both, 2), now);
    replica.apply(page(vec![endpoint_at("new", 8080, 5, 3)], 3), now);
    assert_eq!(endpoint_ids(&replica), ["new", "other"]);
    replica.apply(page(vec![endpoint_at("late", 8081, 0, 4)], 4), now);
    assert_eq!(endpoint_ids(&replica), ["new", "other"]);
}
