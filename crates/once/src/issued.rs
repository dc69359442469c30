use std::{fmt, str::FromStr};

use conf::id;
use fault::{ErrorKind, Fault};
use wire::Owner;
use xxhash_rust::xxh3::xxh3_64;

/// First dot-separated part of the text of an issued key.
const PREFIX: &str = "ak1";

/// Idempotency key that the system issued; it names the one agent incarnation that may run it.
///
/// **NOTE:** The text carries a checksum against accidental changes, and no signature. The keys of
/// two teams never collide, and an agent limits the expiry time, so a team that forges a key
/// only gains another key of its own.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct IssuedKey {
    /// Endpoint whose agent owns the key.
    pub endpoint: id::Endpoint,
    /// Incarnation of that agent, and expiry time of the key.
    pub owner: Owner,
    /// Random number that makes the key unique.
    pub nonce: u128,
}

impl IssuedKey {
    /// Returns whether a text starts like an issued key; it may still be malformed.
    #[must_use]
    pub fn has_prefix(text: &str) -> bool {
        text.starts_with(PREFIX) && text[PREFIX.len()..].starts_with('.')
    }

    fn payload(&self) -> String {
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
        let payload = self.payload();
        write!(f, "{payload}.{:016x}", xxh3_64(payload.as_bytes()))
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
    let (payload, checksum) = text.rsplit_once('.')?;
    if u64::from_str_radix(checksum, 16).ok()? != xxh3_64(payload.as_bytes()) {
        return None;
    }
    let mut parts = payload.splitn(5, '.');
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
