use bytes::Bytes;
use once::{Buffer, Item};
use wire::Checksum;

use crate::sample::answer;

const CHUNK_BYTES: usize = 64 * 1024;

#[test]
fn second_reader_resumes() {
    let mut buffer = Buffer::default();
    let mut first = buffer.attach(0);
    assert_eq!(buffer.pull(&mut first), Item::Pending);
    buffer.set_head(answer().head);
    buffer.push(Bytes::from_static(b"abc"));
    assert_eq!(buffer.pull(&mut first), Item::Head(answer().head));
    assert_eq!(buffer.pull(&mut first), Item::Data(0, "abc".into()));
    let mut second = buffer.attach(1);
    assert_eq!(buffer.pull(&mut first), Item::Replaced);
    assert_eq!(buffer.pull(&mut second), Item::Head(answer().head));
    assert_eq!(buffer.pull(&mut second), Item::Data(1, "bc".into()));
    let checksum = Checksum { length: 3, hash: 0 };
    buffer.finish(Ok(checksum));
    assert_eq!(buffer.pull(&mut second), Item::End(checksum));
}

#[test]
fn old_bytes_dropped() {
    let mut buffer = Buffer::default();
    let mut reader = buffer.attach(0);
    buffer.set_head(answer().head);
    buffer.pull(&mut reader);
    for _ in 0..64 {
        assert!(buffer.has_room());
        buffer.push(Bytes::from(vec![0; CHUNK_BYTES]));
        assert!(!buffer.has_room());
        assert!(matches!(buffer.pull(&mut reader), Item::Data(..)));
    }
    let mut late_reader = buffer.attach(0);
    buffer.pull(&mut late_reader);
    assert!(matches!(buffer.pull(&mut late_reader), Item::Failed(_)));
}
