use std::time::Duration;

use fleet::{
    Always, Change, Content, Follower, Item, LAPSE_GRACE, Page, Replica, Revision, Stage, Update,
};
use prometheus::Registry;
use tokio::time::{self, Instant};

use crate::support::{configuration, endpoint, page, removed};

/// Builds the listing of a store in an era.
fn listing(changes: Vec<Change>, era: u64, number: u64) -> Page {
    let keys = changes.iter().map(|change| match change {
        Change::Put(item) => item.key.clone(),
        Change::Removed { key, .. } => panic!("{key} is removed in a listing"),
    });
    Page {
        keys: Some(keys.collect()),
        ..page(changes, Revision::new(era, number))
    }
}

fn zone_out(zone: &str, revision: Revision) -> Change {
    Change::Put(Item {
        key: format!("zones/{zone}").into(),
        revision,
        content: Content::ZoneOut(zone.into()),
    })
}

fn available(replica: &Replica) -> Vec<String> {
    let now = Instant::now();
    let view = replica.view(now);
    view.available("drafts", now)
        .map(|(id, _)| id.to_string())
        .collect()
}

fn apply(replica: &mut Replica, page: Page) -> Vec<Update> {
    replica.apply(page, Instant::now())
}

fn era(number: u64) -> impl Fn(u64) -> Revision {
    move |revision| Revision::new(number, revision)
}

#[test]
fn later_era_is_newer() {
    assert!(Revision::new(2, 1) > Revision::new(1, 900));
    assert!(Revision::new(1, 1) > 900.into());
    assert_eq!(
        [
            Revision::new(3, 17).to_string(),
            Revision::from(17).to_string()
        ],
        ["3:17", "17"]
    );
}

/// A number that is given out again in a new era holds another change.
#[tokio::test(start_paused = true)]
async fn reused_numbers_applied() {
    let (first, second) = (era(1), era(2));
    let mut replica = Replica::default();
    apply(
        &mut replica,
        listing(vec![endpoint("e1", Stage::Ready, first(90))], 1, 100),
    );
    apply(
        &mut replica,
        listing(vec![endpoint("e1", Stage::Ready, second(90))], 2, 92),
    );
    let next = vec![
        endpoint("e2", Stage::Ready, second(93)),
        endpoint("e1", Stage::Draining, second(94)),
    ];
    apply(&mut replica, page(next, second(94)));
    assert_eq!(available(&replica), ["e2"]);
    assert_eq!(
        (replica.covered(), replica.newest()),
        (second(94), second(94))
    );
}

#[tokio::test(start_paused = true)]
async fn earlier_era_ignored() {
    let (first, second) = (era(1), era(2));
    let mut replica = Replica::default();
    apply(
        &mut replica,
        listing(vec![endpoint("e1", Stage::Ready, second(90))], 2, 92),
    );
    let late = listing(vec![endpoint("e9", Stage::Ready, first(500))], 1, 500);
    assert_eq!(apply(&mut replica, late), [Update::OldEra(1)]);
    let late = page(vec![removed("servers/e1", first(501))], first(501));
    assert_eq!(apply(&mut replica, late), [Update::OldEra(1)]);
    assert_eq!(available(&replica), ["e1"]);
}

/// Without a listing it is unknown what the new era lacks.
#[tokio::test(start_paused = true)]
async fn era_needs_listing() {
    let (first, second) = (era(1), era(2));
    let mut replica = Replica::default();
    apply(
        &mut replica,
        listing(vec![endpoint("e1", Stage::Ready, first(90))], 1, 100),
    );
    apply(
        &mut replica,
        page(vec![endpoint("e2", Stage::Ready, second(93))], second(93)),
    );
    assert_eq!(available(&replica), ["e1"]);
    assert_eq!(replica.covered(), first(100));
}

/// Endpoints that registered in the time that the copy lacks register again, as after a lapse.
#[tokio::test(start_paused = true)]
async fn missing_endpoint_lapses() {
    let (first, second) = (era(1), era(2));
    let mut replica = Replica::default();
    let both = vec![
        endpoint("e1", Stage::Ready, first(90)),
        endpoint("e2", Stage::Ready, first(99)),
        endpoint("e3", Stage::Ready, first(98)),
    ];
    apply(&mut replica, listing(both, 1, 100));
    let updates = apply(
        &mut replica,
        listing(vec![endpoint("e1", Stage::Ready, second(90))], 2, 92),
    );
    assert!(updates.contains(&Update::Era(2)) && updates.contains(&Update::Lapsed("e2".into())));
    assert_eq!(available(&replica), ["e1", "e2", "e3"]);
    apply(
        &mut replica,
        page(vec![endpoint("e2", Stage::Ready, second(93))], second(93)),
    );
    time::advance(LAPSE_GRACE).await;
    assert_eq!(available(&replica), ["e1", "e2"], "e3 has left");
}

/// Guards against use of an endpoint that left within the time that the copy lacks.
#[tokio::test(start_paused = true)]
async fn departed_endpoint_stays_gone() {
    let (first, second) = (era(1), era(2));
    let mut replica = Replica::default();
    let all = vec![
        endpoint("e1", Stage::Ready, first(90)),
        endpoint("e2", Stage::Ready, first(91)),
        endpoint("e3", Stage::Ready, first(92)),
    ];
    apply(&mut replica, listing(all, 1, 95));
    let departures = vec![
        removed("servers/e2", first(97)),
        endpoint("e3", Stage::Draining, first(98)),
    ];
    apply(&mut replica, page(departures, first(98)));
    let copy = vec![
        endpoint("e1", Stage::Ready, second(90)),
        endpoint("e2", Stage::Ready, second(91)),
        endpoint("e3", Stage::Ready, second(92)),
    ];
    let updates = apply(&mut replica, listing(copy.clone(), 2, 93));
    assert!(updates.contains(&Update::Restored("servers/e2".into())));
    assert_eq!(available(&replica), ["e1"]);
    apply(&mut replica, listing(copy, 2, 93));
    assert_eq!(
        available(&replica),
        ["e1"],
        "another listing of the same copy"
    );
    apply(
        &mut replica,
        page(vec![endpoint("e2", Stage::Ready, second(94))], second(94)),
    );
    assert_eq!(available(&replica), ["e1", "e2"], "e2 has registered anew");
}

/// Guards against a zone that returns to service only because the store lost the operators' request.
#[tokio::test(start_paused = true)]
async fn lost_evacuation_kept() {
    let (first, second) = (era(1), era(2));
    let mut replica = Replica::default();
    let items = vec![
        endpoint("e1", Stage::Ready, first(90)),
        zone_out("a", first(99)),
    ];
    apply(&mut replica, listing(items, 1, 100));
    apply(
        &mut replica,
        listing(vec![endpoint("e1", Stage::Ready, second(90))], 2, 92),
    );
    assert!(available(&replica).is_empty());
    // The operators write it again, with a number that was given out before.
    let mut rewritten = replica.clone();
    let again = vec![
        endpoint("e1", Stage::Ready, second(90)),
        zone_out("a", second(94)),
    ];
    apply(&mut rewritten, listing(again, 2, 94));
    time::advance(Duration::from_secs(60)).await;
    assert!(rewritten.expire(Instant::now()).is_empty());
    assert!(available(&rewritten).is_empty());
    let updates = replica.expire(Instant::now());
    assert_eq!(updates, [Update::ZoneIn("a".into())], "not written again");
    assert_eq!(available(&replica), ["e1"]);
}

/// Guards against a zone that goes out of service again since the copy is from before its return.
#[tokio::test(start_paused = true)]
async fn returned_zone_in_service() {
    let (first, second) = (era(1), era(2));
    let mut replica = Replica::default();
    let items = || {
        vec![
            endpoint("e1", Stage::Ready, first(80)),
            zone_out("a", first(90)),
        ]
    };
    apply(&mut replica, listing(items(), 1, 95));
    apply(
        &mut replica,
        page(vec![removed("zones/a", first(98))], first(98)),
    );
    let copy = vec![
        endpoint("e1", Stage::Ready, second(80)),
        zone_out("a", second(90)),
    ];
    apply(&mut replica, listing(copy, 2, 93));
    assert_eq!(available(&replica), ["e1"]);
    apply(
        &mut replica,
        page(vec![zone_out("a", second(94))], second(94)),
    );
    assert!(available(&replica).is_empty(), "taken out anew");
}

#[tokio::test(start_paused = true)]
async fn configuration_outlives_era() {
    let (first, second, third) = (era(1), era(2), era(3));
    let mut replica = Replica::default();
    apply(
        &mut replica,
        listing(vec![configuration(7, first(99))], 1, 100),
    );
    apply(
        &mut replica,
        listing(vec![configuration(6, second(90))], 2, 92),
    );
    apply(
        &mut replica,
        listing(vec![configuration(5, third(80))], 3, 81),
    );
    assert_eq!(replica.version(), 7);
    apply(
        &mut replica,
        page(vec![configuration(8, third(82))], third(82)),
    );
    assert_eq!(replica.version(), 8);
}

/// A process that learns of the new era from another one does not go back with its own store.
#[tokio::test(start_paused = true)]
async fn era_from_peer() {
    let (first, second) = (era(1), era(2));
    let mut ahead = Replica::default();
    let old = vec![endpoint("e1", Stage::Ready, first(90))];
    apply(&mut ahead, listing(old.clone(), 1, 100));
    let mut behind = ahead.clone();
    apply(
        &mut ahead,
        listing(vec![endpoint("e1", Stage::Ready, second(90))], 2, 92),
    );
    apply(
        &mut ahead,
        page(vec![endpoint("e2", Stage::Ready, second(93))], second(93)),
    );
    assert!(
        ahead.newest() > behind.covered(),
        "the other process asks for changes"
    );
    let news = ahead.changes_since(behind.covered());
    apply(&mut behind, news);
    assert_eq!(available(&behind), ["e1", "e2"]);
    apply(&mut behind, listing(old, 1, 100));
    assert_eq!(available(&behind), ["e1", "e2"]);
    assert_eq!(behind.covered(), second(93));
}

#[tokio::test(start_paused = true)]
async fn follower_lists_new_era() {
    let (first, second) = (era(1), era(2));
    let store = crate::store_follower::FakeStore::new(vec![
        Ok(listing(
            vec![endpoint("e1", Stage::Ready, first(90))],
            1,
            100,
        )),
        Ok(page(
            vec![endpoint("e2", Stage::Ready, second(101))],
            second(101),
        )),
        Ok(listing(
            vec![endpoint("e3", Stage::Ready, second(91))],
            2,
            102,
        )),
        Ok(page(Vec::new(), first(300))),
    ]);
    let follower = std::sync::Arc::new(Follower::new(&Registry::new()).unwrap());
    tokio::spawn(
        follower
            .clone()
            .run(store.clone(), std::sync::Arc::new(Always)),
    );
    time::sleep(Duration::from_secs(30)).await;
    assert_eq!(
        store.calls()[..4],
        ["list", "watch 1:100", "list", "watch 2:102"]
    );
    assert_eq!(follower.position().0, second(102));
    let view = follower.subscribe().borrow().clone();
    assert_eq!(view.endpoints.keys().collect::<Vec<_>>(), ["e3"]);
}
