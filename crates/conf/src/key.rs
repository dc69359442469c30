use subtle::ConstantTimeEq as _;

use crate::{Digest, Document, id};

/// Secret of a team, as callers send it. It has no `Debug` form, so that it cannot reach a log.
pub struct TeamKey<'a>(&'a str);

impl<'a> TeamKey<'a> {
    /// Wraps the secret.
    #[must_use]
    pub const fn new(secret: &'a str) -> Self {
        Self(secret)
    }

    /// Returns the digest that the configuration keeps in place of the secret.
    #[must_use]
    pub fn digest(&self) -> Digest {
        Digest::of(&[self.0.as_bytes()])
    }

    /// Finds the team that holds this key; every digest is compared in constant time.
    #[must_use]
    pub fn team(&self, document: &Document) -> Option<id::Team> {
        let own = self.digest();
        let mut found = None;
        for (name, team) in &document.teams {
            for key in &team.keys {
                if bool::from(key.as_bytes().ct_eq(own.as_bytes())) {
                    found = Some(name.clone());
                }
            }
        }
        found
    }
}
