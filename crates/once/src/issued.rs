use std::{fmt, str::FromStr};

use conf::id;
use fault::{ErrorKind, Fault};
use wire::Owner;
use xxhash_rust::xxh3::xxh3_64;

/// First part of the text of an issued key.
const PREFIX: &str = "ak1";

/// Key that the system issued: it names the one agent life that may run it.
///
/// **NOTE:** The text carries a checksum against slips, and no signature. Keys of two teams never
/// meet, and an agent bounds the expiry, so a key that a team makes up can only stand for itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct IssuedKey {
    /// Endpoint beside which the agent stands.
    pub endpoint: id::Endpoint,
    /// Life of the agent, and time until which the key is taken.
    pub owner: Owner,
    /// Random number that makes the key unique.
    pub nonce: u128,
}

impl IssuedKey {
    /// Returns whether a text claims to be an issued key.
    #[must_use]
    pub fn has_prefix(text: &str) -> bool {
        text.starts_with(PREFIX) && text[PREFIX.len()..].starts_with('.')
    }

    fn body(&self) -> String {
        let Owner {
            incarnation,
            expires,
        } = self.owner;
        format!(
            "{PREFIX}.{incarnation:x}.{expires:x}.{:x}.{}",
            self.nonce, self.endpoint
        )
    }
}

impl fmt::Display for IssuedKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let body = self.body();
        write!(f, "{body}.{:016x}", xxh3_64(body.as_bytes()))
    }
}

impl FromStr for IssuedKey {
    type Err = Fault;

    fn from_str(text: &str) -> Result<Self, Fault> {
        parse(text).ok_or_else(|| {
            Fault::new(ErrorKind::KeyInvalid).detail("the issued key is damaged; send it as issued")
        })
    }
}

fn parse(text: &str) -> Option<IssuedKey> {
    let (body, sum) = text.rsplit_once('.')?;
    if u64::from_str_radix(sum, 16).ok()? != xxh3_64(body.as_bytes()) {
        return None;
    }
    let mut parts = body.splitn(5, '.');
    if parts.next()? != PREFIX {
        return None;
    }
    let owner = Owner {
        incarnation: u64::from_str_radix(parts.next()?, 16).ok()?,
        expires: u64::from_str_radix(parts.next()?, 16).ok()?,
    };
    let nonce = u128::from_str_radix(parts.next()?, 16).ok()?;
    let endpoint = parts.next()?.into();
    Some(IssuedKey {
        endpoint,
        owner,
        nonce,
    })
}
