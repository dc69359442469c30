use bytes::Bytes;
use once::{Feed, Pull};
use wire::Seal;

use crate::spec::answer;

const PIECE: usize = 64 * 1024;

#[test]
fn second_reader() {
    let mut feed = Feed::default();
    let mut first = feed.attach(0);
    assert_eq!(feed.pull(&mut first), Pull::Wait);
    feed.begin(answer().head);
    feed.push(Bytes::from_static(b"abc"));
    assert_eq!(feed.pull(&mut first), Pull::Head(answer().head));
    assert_eq!(feed.pull(&mut first), Pull::Data(0, "abc".into()));
    let mut second = feed.attach(1);
    assert_eq!(feed.pull(&mut first), Pull::Replaced);
    assert_eq!(feed.pull(&mut second), Pull::Head(answer().head));
    assert_eq!(feed.pull(&mut second), Pull::Data(1, "bc".into()));
    let seal = Seal { length: 3, hash: 0 };
    feed.finish(Ok(seal));
    assert_eq!(feed.pull(&mut second), Pull::End(seal));
}

#[test]
fn bounded_buffer() {
    let mut feed = Feed::default();
    let mut reader = feed.attach(0);
    feed.begin(answer().head);
    feed.pull(&mut reader);
    for _ in 0..64 {
        assert!(feed.has_room());
        feed.push(Bytes::from(vec![0; PIECE]));
        assert!(!feed.has_room());
        assert!(matches!(feed.pull(&mut reader), Pull::Data(..)));
    }
    let mut late = feed.attach(0);
    feed.pull(&mut late);
    assert!(matches!(feed.pull(&mut late), Pull::Failed(_)));
}
