use once::{Claim, Owners};
use tokio::time::{Duration, Instant};
use wire::Key;

use crate::spec::{document, moving_key, settle};

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
    let claim = |owners: &Owners, after| owners.claim(&key("x"), settle(), start + after);
    assert_eq!(claim(&owners, settle()), Claim::Other);
    owners.adopt(&document(false), None, start);
    let shortly = settle().saturating_sub(Duration::from_millis(1));
    assert_eq!(claim(&owners, shortly), Claim::Young);
    assert_eq!(claim(&owners, settle()), Claim::Settled);
}

#[test]
fn moved_key() {
    let start = Instant::now();
    let mut owners = Owners::new("b".into(), start);
    owners.adopt(&document(true), None, start);
    let moved = start + 2 * settle();
    owners.adopt(&document(false), None, moved);
    assert_eq!(
        owners.claim(&key(&moving_key()), settle(), moved),
        Claim::Other
    );
    owners.adopt(&document(true), None, moved);
    let claim = |after| owners.claim(&key(&moving_key()), settle(), moved + after);
    assert_eq!(claim(Duration::ZERO), Claim::Young);
    assert_eq!(claim(settle()), Claim::Settled);
}
