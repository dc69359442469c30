use once::{Owners, Ownership};
use tokio::time::{Duration, Instant};
use wire::Key;

use crate::sample::{document, key_of_second_endpoint, settling_time};

fn key(text: &str) -> Key {
    Key {
        team: "t".into(),
        text: text.into(),
        owner: None,
    }
}

#[test]
fn new_owner_settles() {
    let start = Instant::now();
    let mut owners = Owners::new("a".into(), start);
    let ownership =
        |owners: &Owners, after| owners.ownership(&key("x"), settling_time(), start + after);
    assert_eq!(ownership(&owners, settling_time()), Ownership::Other);
    owners.configure(&document(false), None, start);
    let too_early = settling_time().saturating_sub(Duration::from_millis(1));
    assert_eq!(ownership(&owners, too_early), Ownership::Unsettled);
    assert_eq!(ownership(&owners, settling_time()), Ownership::Settled);
}

#[test]
fn returned_key_resettles() {
    let start = Instant::now();
    let mut owners = Owners::new("b".into(), start);
    owners.configure(&document(true), None, start);
    let moved = start + 2 * settling_time();
    owners.configure(&document(false), None, moved);
    assert_eq!(
        owners.ownership(&key(&key_of_second_endpoint()), settling_time(), moved),
        Ownership::Other
    );
    owners.configure(&document(true), None, moved);
    let ownership = |after| {
        owners.ownership(
            &key(&key_of_second_endpoint()),
            settling_time(),
            moved + after,
        )
    };
    assert_eq!(ownership(Duration::ZERO), Ownership::Unsettled);
    assert_eq!(ownership(settling_time()), Ownership::Settled);
}
