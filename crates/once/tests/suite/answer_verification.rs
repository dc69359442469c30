use bytes::Bytes;
use fault::ErrorKind;
use once::{Piece, Verifier};
use wire::{Checksum, Reply};

fn data(attempt: u32, offset: u64, text: &'static str) -> Reply {
    Reply::Data {
        request: "r".into(),
        attempt,
        offset,
        data: Bytes::from(text),
    }
}

fn end(checksum: Checksum) -> Reply {
    Reply::End {
        request: "r".into(),
        attempt: 1,
        checksum,
    }
}

#[test]
fn complete_answer() {
    let mut verifier = Verifier::new("r".into(), 1);
    assert_eq!(
        verifier.accept(data(1, 0, "abc")),
        Ok(Piece::Data("abc".into()))
    );
    assert_eq!(
        verifier.accept(data(1, 3, "de")),
        Ok(Piece::Data("de".into()))
    );
    assert_eq!(verifier.accept(end(verifier.checksum())), Ok(Piece::End));
}

#[test]
fn overlap_removed() {
    let mut verifier = Verifier::new("r".into(), 1);
    verifier.accept(data(1, 0, "abc")).unwrap();
    assert_eq!(
        verifier.accept(data(1, 1, "bcde")),
        Ok(Piece::Data("de".into()))
    );
    assert_eq!(verifier.accept(data(1, 0, "abc")), Ok(Piece::Ignored));
}

#[test]
fn gap_detected() {
    let mut verifier = Verifier::new("r".into(), 1);
    assert_eq!(
        verifier.accept(data(1, 2, "c")).unwrap_err().kind(),
        ErrorKind::BadAnswer
    );
}

#[test]
fn other_attempt_ignored() {
    let mut verifier = Verifier::new("r".into(), 2);
    assert_eq!(verifier.accept(data(1, 0, "late")), Ok(Piece::Ignored));
    assert_eq!(verifier.mismatches(), 1);
}

#[test]
fn wrong_length() {
    let mut verifier = Verifier::new("r".into(), 1);
    verifier.accept(data(1, 0, "abc")).unwrap();
    let checksum = Checksum {
        length: 4,
        ..verifier.checksum()
    };
    assert_eq!(
        verifier.accept(end(checksum)).unwrap_err().kind(),
        ErrorKind::BadAnswer
    );
}
