use conf::{Digest, TeamKey};

#[test]
fn digest_depends_on_secret() {
    assert_eq!(
        TeamKey::new("secret").digest(),
        Digest::of(&[b"sec", b"ret"])
    );
    assert_ne!(
        TeamKey::new("secret").digest(),
        TeamKey::new("Secret").digest()
    );
}
