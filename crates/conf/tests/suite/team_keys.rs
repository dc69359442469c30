use conf::{Digest, TeamKey};

#[test]
fn secret_determines_digest() {
    assert_eq!(
        TeamKey::new("secret").digest(),
        Digest::of(&[b"sec", b"ret"])
    );
    assert_ne!(
        TeamKey::new("secret").digest(),
        TeamKey::new("Secret").digest()
    );
}
