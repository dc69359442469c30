use bytes::Bytes;
use once::{Buffer, Item};
use wire::Seal;

use crate::sample::answer;

const PIECE: usize = 64 * 1024;

#[test]
fn second_reader() {
    let mut feed = Buffer::default();
    let mut first = feed.attach(0);
    assert_eq!(feed.pull(&mut first), Item::Pending);
    feed.set_head(answer().head);
    feed.push(Bytes::from_static(b"abc"));
    assert_eq!(feed.pull(&mut first), Item::Head(answer().head));
    assert_eq!(feed.pull(&mut first), Item::Data(0, "abc".into()));
    let mut second = feed.attach(1);
    assert_eq!(feed.pull(&mut first), Item::Replaced);
    assert_eq!(feed.pull(&mut second), Item::Head(answer().head));
    assert_eq!(feed.pull(&mut second), Item::Data(1, "bc".into()));
    let seal = Seal { length: 3, hash: 0 };
    feed.finish(Ok(seal));
    assert_eq!(feed.pull(&mut second), Item::End(seal));
}

#[test]
fn bounded_buffer() {
    let mut feed = Buffer::default();
    let mut reader = feed.attach(0);
    feed.set_head(answer().head);
    feed.pull(&mut reader);
    for _ in 0..64 {
        assert!(feed.has_room());
        feed.push(Bytes::from(vec![0; PIECE]));
        assert!(!feed.has_room());
        assert!(matches!(feed.pull(&mut reader), Item::Data(..)));
    }
    let mut late = feed.attach(0);
    feed.pull(&mut late);
    assert!(matches!(feed.pull(&mut late), Item::Failed(_)));
}
