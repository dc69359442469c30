use direct::events::Splitter;
use proptest::{collection::vec, prelude::*};

#[test]
fn complete_events_only() {
    let mut splitter = Splitter::default();
    splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");
    let batch = splitter.take_events(None);
    assert_eq!(
        (&batch.bytes[..], batch.last_id, batch.count),
        (&b"id: 1\ndata: a\n\n"[..], Some(1), 1)
    );
    assert!(!splitter.is_empty());
    splitter.push(b"ta: b\n\n");
    let batch = splitter.take_events(None);
    assert_eq!(
        (&batch.bytes[..], batch.last_id),
        (&b"id: 2\ndata: b\n\n"[..], Some(2))
    );
    assert!(splitter.is_empty());
}

#[test]
fn old_events_skipped() {
    let mut splitter = Splitter::default();
    splitter.push(b"id: 3\ndata: c\n\nid: 4\ndata: d\n\nid: 5\ndata: e\n\n");
    let batch = splitter.take_events(Some(4));
    assert_eq!(
        (&batch.bytes[..], batch.last_id, batch.count),
        (&b"id: 5\ndata: e\n\n"[..], Some(5), 1)
    );
}

#[test]
fn later_id_found() {
    let mut splitter = Splitter::default();
    splitter.push(b"weight-versions: 3\nid: 9\r\ndata: x\r\n\r\n");
    assert_eq!(splitter.take_events(None).last_id, Some(9));
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
