use direct::Splitter;

#[test]
fn whole_events_only() {
    let mut splitter = Splitter::default();
    splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");
    let whole = splitter.take(None);
    assert_eq!(
        (&whole.bytes[..], whole.last, whole.count),
        (&b"id: 1\ndata: a\n\n"[..], Some(1), 1)
    );
    assert!(!splitter.is_between());
    splitter.push(b"ta: b\n\n");
    let whole = splitter.take(None);
    assert_eq!(
        (&whole.bytes[..], whole.last),
        (&b"id: 2\ndata: b\n\n"[..], Some(2))
    );
    assert!(splitter.is_between());
}

#[test]
fn repeated_events_left_out() {
    let mut splitter = Splitter::default();
    splitter.push(b"id: 3\ndata: c\n\nid: 4\ndata: d\n\nid: 5\ndata: e\n\n");
    let whole = splitter.take(Some(4));
    assert_eq!(
        (&whole.bytes[..], whole.last, whole.count),
        (&b"id: 5\ndata: e\n\n"[..], Some(5), 1)
    );
}

#[test]
fn lines_before_the_id() {
    let mut splitter = Splitter::default();
    splitter.push(b"weight-versions: 3\nid: 9\r\ndata: x\r\n\r\n");
    assert_eq!(splitter.take(None).last, Some(9));
}

#[test]
fn byte_by_byte() {
    let text = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    let (mut splitter, mut got) = (Splitter::default(), Vec::new());
    for byte in text {
        splitter.push(&[*byte]);
        got.extend_from_slice(&splitter.take(None).bytes);
    }
    assert_eq!(got, text);
}
