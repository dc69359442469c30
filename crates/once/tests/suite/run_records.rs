use std::sync::Arc;

use conf::Policy;
use fault::{ErrorKind, Run};
use once::{Bounds, Decision, IssuedKey, Ledger as _, Records, Reservation};
use tokio::time::{Duration, Instant};
use wire::{Key, Owner};

use crate::sample::{answer, document};

/// Start of the agent, in nanoseconds since 1970.
const INCARNATION: u64 = 7_000_000_000;
/// Expiry time of the keys, in seconds since 1970: within the retry horizon of the start.
const EXPIRES: u64 = 600;

fn key(text: &str, expires: u64) -> Key {
    Key {
        team: "t".into(),
        text: text.into(),
        owner: Some(Owner {
            incarnation: INCARNATION,
            expires,
        }),
    }
}

fn reserve(key: &Key, fingerprint: u64, now: Instant) -> Reservation {
    Reservation {
        key: key.clone(),
        request: "r".into(),
        attempt: 1,
        fingerprint,
        deadline: now + Policy::default().deadline,
    }
}

fn refused(decision: Decision) -> (ErrorKind, Run) {
    let Decision::Refused(fault) = decision else {
        panic!("not refused: {decision:?}");
    };
    (fault.kind(), fault.run())
}

fn token(decision: Decision) -> u64 {
    let Decision::Granted(token) = decision else {
        panic!("no token: {decision:?}");
    };
    token
}

#[test]
fn newest_token_starts() {
    let now = Instant::now();
    let mut records = Records::new("a".into(), INCARNATION, now);
    let key = key("k", EXPIRES);
    let old = token(records.reserve(reserve(&key, 1, now), now));
    let new = token(records.reserve(reserve(&key, 1, now), now));
    assert!(records.start(&key, old, now).is_err());
    assert!(records.cancel(&key, old, now));
    records.start(&key, new, now).unwrap();
    assert!(records.start(&key, new, now).is_err());
    assert!(!records.cancel(&key, new, now));
    let other = records.reserve(reserve(&key, 2, now), now);
    assert_eq!(refused(other).0, ErrorKind::KeyMismatch);
    let running = records.reserve(reserve(&key, 1, now), now);
    assert_eq!(refused(running), (ErrorKind::InProgress, Run::Unknown));
    records.finish(&key, Some(Arc::new(answer())), now);
    let again = records.reserve(reserve(&key, 1, now), now);
    assert!(matches!(again, Decision::Replay(stored) if *stored == answer()));
}

#[test]
fn start_after_deadline() {
    let now = Instant::now();
    let mut records = Records::new("a".into(), INCARNATION, now);
    let key = key("k", EXPIRES);
    let token = token(records.reserve(reserve(&key, 1, now), now));
    let deadline = now + Policy::default().deadline;
    let fault = records.start(&key, token, deadline).unwrap_err();
    assert_eq!(
        (fault.kind(), fault.run()),
        (ErrorKind::DeadlineExpired, Run::No)
    );
    assert!(records.start(&key, token, now).is_err());
}

#[test]
fn unknown_outcome_stays() {
    let now = Instant::now();
    let mut records = Records::new("a".into(), INCARNATION, now);
    let key = key("k", EXPIRES);
    let token = token(records.reserve(reserve(&key, 1, now), now));
    records.start(&key, token, now).unwrap();
    records.finish(&key, None, now);
    let again = records.reserve(reserve(&key, 1, now), now);
    assert_eq!(refused(again), (ErrorKind::Interrupted, Run::Unknown));
    let retention = Bounds::from(&Policy::default()).retention();
    let expired = records.reserve(reserve(&key, 1, now + retention), now + retention);
    assert_eq!(refused(expired), (ErrorKind::KeyInvalid, Run::Unknown));
}

#[test]
fn released_key_reruns() {
    let now = Instant::now();
    let mut records = Records::new("a".into(), INCARNATION, now);
    let key = key("k", EXPIRES);
    let first = token(records.reserve(reserve(&key, 1, now), now));
    records.start(&key, first, now).unwrap();
    records.release(&key, now);
    let second = token(records.reserve(reserve(&key, 1, now), now));
    assert!(records.start(&key, first, now).is_err());
    records.start(&key, second, now).unwrap();
}

#[test]
fn invalid_keys_refused() {
    let now = Instant::now();
    let mut records = Records::new("a".into(), INCARNATION, now);
    let mut reserve_refused = |key: Key| refused(records.reserve(reserve(&key, 1, now), now));
    let mut other_incarnation = key("k", EXPIRES);
    other_incarnation.owner = other_incarnation.owner.map(|owner| Owner {
        incarnation: INCARNATION - 1,
        ..owner
    });
    assert_eq!(
        reserve_refused(other_incarnation),
        (ErrorKind::OwnerLost, Run::Unknown)
    );
    assert_eq!(
        reserve_refused(key("k", 7)),
        (ErrorKind::KeyInvalid, Run::Unknown)
    );
    assert_eq!(
        reserve_refused(key("k", 9999)),
        (ErrorKind::KeyInvalid, Run::No)
    );
}

#[test]
fn full_store() {
    let now = Instant::now();
    let mut records = Records::new("a".into(), INCARNATION, now);
    let mut document = document(false);
    document.policy.records = 2;
    records.configure(&document, now);
    let keys = ["k1", "k2", "k3"].map(|text| key(text, EXPIRES));
    for key in &keys[..2] {
        let token = token(records.reserve(reserve(key, 1, now), now));
        records.start(key, token, now).unwrap();
        records.finish(key, Some(Arc::new(answer())), now);
    }
    let third = records.reserve(reserve(&keys[2], 1, now), now);
    assert_eq!(refused(third), (ErrorKind::RecordsFull, Run::No));
    for key in &keys[..2] {
        let stored = records.reserve(reserve(key, 1, now), now);
        assert!(matches!(stored, Decision::Replay(_)));
    }
    let later = now + records.bounds().retention();
    let fresh = key("k4", EXPIRES + records.bounds().retention().as_secs());
    token(records.reserve(reserve(&fresh, 1, later), later));
    assert_eq!(records.usage().records, 1);
}

#[test]
fn unused_reservation_expires() {
    let now = Instant::now();
    let mut records = Records::new("a".into(), INCARNATION, now);
    token(records.reserve(reserve(&key("k", EXPIRES), 1, now), now));
    let later = now + Policy::default().deadline + Duration::from_secs(1);
    token(records.reserve(reserve(&key("k2", EXPIRES), 1, later), later));
    assert_eq!(records.usage().records, 1);
}

#[test]
fn issued_key_text() {
    let issued = IssuedKey {
        endpoint: "orders.a-0".into(),
        owner: Owner {
            incarnation: INCARNATION,
            expires: 1,
        },
        nonce: 5,
    };
    let text = issued.to_string();
    assert!(
        IssuedKey::has_prefix(&text)
            && !IssuedKey::has_prefix("ak1")
            && !IssuedKey::has_prefix("order-1")
    );
    assert_eq!(text.parse(), Ok(issued));
    let truncated = text[..text.len() - 1].parse::<IssuedKey>().unwrap_err();
    assert_eq!(truncated.kind(), ErrorKind::KeyInvalid);
}
