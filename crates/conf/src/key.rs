use subtle::ConstantTimeEq as _;

use crate::{Digest, Document, id};

/// Secret key of a team, as clients send it.
///
/// It has no `Debug` implementation, so that it cannot be logged.
pub struct TeamKey<'a>(&'a str);

impl<'a> TeamKey<'a> {
    /// Creates a key from the secret in a request.
    #[must_use]
    pub const fn new(secret: &'a str) -> Self {
        Self(secret)
    }

    /// Returns the digest that the document contains instead of the secret.
    #[must_use]
    pub fn digest(&self) -> Digest {
        Digest::of(&[self.0.as_bytes()])
    }

    /// Returns the team that holds this key.
    ///
    /// Each digest is compared in constant time, and all are compared even after a match, so that the
    /// time does not depend on the key.
    #[must_use]
    pub fn team(&self, document: &Document) -> Option<id::Team> {
        let digest = self.digest();
        let mut found = None;
        for (name, team) in &document.teams {
            for key in &team.keys {
                if bool::from(key.as_bytes().ct_eq(digest.as_bytes())) {
                    found = Some(name.clone());
                }
            }
        }
        found
    }
}
