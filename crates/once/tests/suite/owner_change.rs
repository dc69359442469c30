use once::{Owners, Ownership};
use tokio::time::{Duration, Instant};
use wire::Key;

use crate::sample::{document, moving_key, settle};

fn key(text: &str) -> Key {
    Key {
        team: "t".into(),
        text: text.into(),
        owner: None,
    }
}

#[test]
fn young_owner() {
    let start = Instant::now();
    let mut owners = Owners::new("a".into(), start);
    let claim = |owners: &Owners, after| owners.ownership(&key("x"), settle(), start + after);
    assert_eq!(claim(&owners, settle()), Ownership::Other);
    owners.configure(&document(false), None, start);
    let shortly = settle().saturating_sub(Duration::from_millis(1));
    assert_eq!(claim(&owners, shortly), Ownership::Unsettled);
    assert_eq!(claim(&owners, settle()), Ownership::Settled);
}

#[test]
fn moved_key() {
    let start = Instant::now();
    let mut owners = Owners::new("b".into(), start);
    owners.configure(&document(true), None, start);
    let moved = start + 2 * settle();
    owners.configure(&document(false), None, moved);
    assert_eq!(
        owners.ownership(&key(&moving_key()), settle(), moved),
        Ownership::Other
    );
    owners.configure(&document(true), None, moved);
    let claim = |after| owners.ownership(&key(&moving_key()), settle(), moved + after);
    assert_eq!(claim(Duration::ZERO), Ownership::Unsettled);
    assert_eq!(claim(settle()), Ownership::Settled);
}
