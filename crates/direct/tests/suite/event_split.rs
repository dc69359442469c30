use direct::events::Splitter;

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
