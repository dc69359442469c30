use std::cmp::Ordering;

use direct::events::{Splitter, compare};
use proptest::{collection::vec, prelude::*};

#[test]
fn complete_events_only() {
    let mut splitter = Splitter::default();
    splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");
    let batch = splitter.take_events(None);
    assert_eq!(
        (&batch.bytes[..], batch.last_id.as_deref(), batch.count),
        (&b"id: 1\ndata: a\n\n"[..], Some("1"), 1)
    );
    assert!(!splitter.is_empty());
    splitter.push(b"ta: b\n\n");
    let batch = splitter.take_events(None);
    assert_eq!(
        (&batch.bytes[..], batch.last_id.as_deref()),
        (&b"id: 2\ndata: b\n\n"[..], Some("2"))
    );
    assert!(splitter.is_empty());
}

#[test]
fn old_events_skipped() {
    let mut splitter = Splitter::default();
    splitter.push(b"id: 3\ndata: c\n\nid: 4\ndata: d\n\nid: 5\ndata: e\n\n");
    let batch = splitter.take_events(Some(&"4".into()));
    assert_eq!(
        (&batch.bytes[..], batch.last_id.as_deref(), batch.count),
        (&b"id: 5\ndata: e\n\n"[..], Some("5"), 1)
    );
}

#[test]
fn later_id_found() {
    let mut splitter = Splitter::default();
    splitter.push(b"weight-versions: 3\nid: 9\r\ndata: x\r\n\r\n");
    assert_eq!(splitter.take_events(None).last_id.as_deref(), Some("9"));
}

/// Guards against events that are left out, or sent twice, since their ids are too large or no numbers (ORDER).
#[test]
fn ids_compared() {
    let later = [
        ("9007199254740992", "9007199254740993"),
        ("18446744073709551615", "18446744073709551616"),
        ("9", "10"),
        ("009", "10"),
        ("0", "00000000000000000000000000000000000000001"),
    ];
    for (id, next) in later {
        assert_eq!(compare(id, next), Some(Ordering::Less), "{id} {next}");
        assert_eq!(compare(next, id), Some(Ordering::Greater), "{id} {next}");
        let mut splitter = Splitter::default();
        splitter.push(format!("id: {id}\ndata: a\n\nid: {next}\ndata: b\n\n").as_bytes());
        let batch = splitter.take_events(Some(&id.into()));
        assert_eq!((batch.last_id.as_deref(), batch.count), (Some(next), 1));
    }
    assert_eq!(compare("007", "7"), Some(Ordering::Equal));
    assert_eq!(compare("a", "a"), Some(Ordering::Equal));
    for (left, right) in [("a", "b"), ("1.5", "2"), ("-1", "1"), ("1", "")] {
        assert_eq!(compare(left, right), None, "{left} {right}");
    }
}

/// Guards against a stream that is resumed after another event than the last, since that has no usable id (ORDER).
#[test]
fn unnumbered_events_noticed() {
    let cases = [
        ("id: 1\ndata: a\n\n", false),
        ("id: 1\ndata: a\n\ndata: b\n\n", true),
        ("data: a\n\nid: 2\ndata: b\n\n", false),
        ("id: 1\ndata: a\n\n: comment\n\n", false),
        ("id:\ndata: a\n\n", true),
        ("id: a\u{1}b\ndata: a\n\n", true),
    ];
    for (text, is_unnumbered) in cases {
        let mut splitter = Splitter::default();
        splitter.push(text.as_bytes());
        let batch = splitter.take_events(None);
        assert_eq!(batch.is_unnumbered, is_unnumbered, "{text}");
    }
}

#[test]
fn byte_by_byte() {
    let text = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    let (mut splitter, mut received) = (Splitter::default(), Vec::new());
    for byte in text {
        splitter.push(&[*byte]);
        received.extend_from_slice(&splitter.take_events(None).bytes);
    }
    assert_eq!(received, text);
}

/// Returns bytes that are likely to form events.
fn stream_bytes() -> impl Strategy<Value = Vec<u8>> {
    let piece = prop_oneof![
        Just(b"\n".to_vec()),
        Just(b"\r\n".to_vec()),
        Just(b"\n\n".to_vec()),
        Just(b"id: ".to_vec()),
        Just(b"data: x".to_vec()),
        (0..30_u64).prop_map(|id| format!("id: {id}\ndata: x\n\n").into_bytes()),
        vec(any::<u8>(), 0..6),
    ];
    vec(piece, 0..40).prop_map(|pieces| pieces.concat())
}

proptest! {
    /// The pieces in which a stream arrives make no difference, and no byte is added or lost.
    #[test]
    fn pieces_make_no_difference(bytes in stream_bytes(), sizes in vec(1..9_usize, 1..20)) {
        let mut whole = Splitter::default();
        whole.push(&bytes);
        let expected = whole.take_events(None);
        let (mut splitter, mut received, mut last_id) = (Splitter::default(), Vec::new(), None);
        let (mut rest, mut sizes) = (&bytes[..], sizes.iter().cycle());
        while !rest.is_empty() {
            let (piece, others) = rest.split_at(rest.len().min(*sizes.next().unwrap()));
            splitter.push(piece);
            let batch = splitter.take_events(None);
            received.extend_from_slice(&batch.bytes);
            last_id = batch.last_id.or(last_id);
            rest = others;
        }
        prop_assert_eq!(&received[..], &expected.bytes[..]);
        prop_assert_eq!(last_id, expected.last_id);
        prop_assert!(bytes.starts_with(&received));
        prop_assert_eq!(splitter.is_empty(), received.len() == bytes.len());
    }
}

/// Guards against an event that arrives in so many pieces that reading it takes too long, although its
/// bytes stay below the size limit.
#[test]
fn many_pieces_refused() {
    let mut splitter = Splitter::default();
    for _ in 0..5000 {
        splitter.push(b"noise");
        splitter.take_events(None);
    }
    assert!(splitter.is_over_limit());
}

/// Guards against counting the pieces of earlier events towards the limit of the current one.
#[test]
fn pieces_counted_by_event() {
    let mut splitter = Splitter::default();
    for _ in 0..5000 {
        splitter.push(b"data: x\n");
        assert_eq!(splitter.take_events(None).count, 0);
        splitter.push(b"\n");
        assert_eq!(splitter.take_events(None).count, 1);
        assert!(!splitter.is_over_limit());
    }
}
