use std::time::Duration;

use peer::{Change, State, Table};
use tokio::time::{Instant, advance};

use crate::member;

#[tokio::test(start_paused = true)]
async fn incarnations_ordered() {
    let mut table = Table::default();
    let (old, new) = (member("p", "a", 1, 1), member("p", "a", 2, 1));
    let mut leaving = old.clone();
    leaving.leaving = true;
    let now = Instant::now;
    assert_eq!(table.record_heartbeat(old.clone(), now()), Change::New);
    assert_eq!(
        table.record_heartbeat(old.clone(), now()),
        Change::Refreshed
    );
    table.mark_unreachable(old.address);
    assert_eq!(table.state("p"), Some(State::Unreachable));
    assert_eq!(table.merge(old.clone(), now()), Change::Stale);
    assert_eq!(
        table.record_heartbeat(old.clone(), now()),
        Change::Recovered
    );
    assert_eq!(table.merge(leaving.clone(), now()), Change::Leaving);
    assert_eq!(table.record_heartbeat(old.clone(), now()), Change::Stale);
    assert_eq!(table.state("p"), Some(State::Leaving));
    assert_eq!(
        table.record_heartbeat(new.clone(), now()),
        Change::Restarted
    );
    assert_eq!(table.record_heartbeat(leaving, now()), Change::Stale);
    assert_eq!(table.state("p"), Some(State::Up));
    assert_eq!(table.members(), [new]);
}

#[tokio::test(start_paused = true)]
async fn silent_process_removed() {
    let mut table = Table::default();
    table.record_heartbeat(member("p", "a", 1, 1), Instant::now());
    advance(Duration::from_millis(2999)).await;
    table.tick(Instant::now());
    assert_eq!(table.state("p"), Some(State::Up));
    advance(Duration::from_millis(1)).await;
    table.tick(Instant::now());
    assert_eq!(table.state("p"), Some(State::Unreachable));
    assert!(table.members().is_empty());
    advance(Duration::from_secs(600)).await;
    table.tick(Instant::now());
    assert_eq!(table.state("p"), None);
}
