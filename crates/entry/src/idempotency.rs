use std::time::{Duration, SystemTime, UNIX_EPOCH};

use conf::{Document, Route, id};
use fault::{ErrorKind, Fault};
use http::HeaderMap;
use once::IssuedKey;
use smol_str::{SmolStr, ToSmolStr as _};
use wire::{Key, Owner};

/// Header that carries an idempotency key.
pub(crate) const HEADER: &str = "idempotency-key";
/// Longest key in bytes.
const LONGEST: usize = 255;

/// Says how often a request may run, and under which key.
#[derive(Clone, Debug)]
pub(crate) enum Repeat {
    /// The request may be repeated.
    Allowed,
    /// Once; the caller sent no key, so that each offer gets a fresh one of the endpoint's agent.
    Fresh,
    /// Once, at the endpoint that owns the caller's key.
    Once {
        /// The key.
        key: Key,
        /// The endpoint.
        owner: id::Endpoint,
    },
}

impl Repeat {
    /// Reads from a request how often it may run.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::KeyInvalid`] if the caller's key is empty, too long, not visible ASCII
    /// or a damaged issued one, and [`ErrorKind::OwnerLost`] if its owner is no longer published.
    pub(crate) fn read(
        route: &Route,
        service: &id::Service,
        document: &Document,
        team: &id::Team,
        headers: &HeaderMap,
    ) -> Result<Self, Fault> {
        if route.repeatable {
            return Ok(Repeat::Allowed);
        }
        let Some(value) = headers.get(HEADER) else {
            return Ok(Repeat::Fresh);
        };
        let text = check(value.to_str().unwrap_or_default())?;
        let mut key = Key {
            team: team.clone(),
            text,
            owner: None,
        };
        let serves =
            |name: &id::Endpoint| document.endpoints.get(name).map(|e| &e.service) == Some(service);
        let owner = if IssuedKey::has_prefix(&key.text) {
            let issue: IssuedKey = key.text.parse()?;
            key.owner = Some(issue.owner);
            Some(issue.endpoint).filter(|name| serves(name))
        } else {
            let names = document.endpoints.keys().filter(|name| serves(name));
            once::owner(names, &key).cloned()
        };
        let owner = owner.ok_or(ErrorKind::OwnerLost)?;
        Ok(Repeat::Once { key, owner })
    }

    /// Returns the endpoint that alone may get the request, if there is one.
    pub(crate) fn owner(&self) -> Option<&id::Endpoint> {
        match self {
            Repeat::Once { owner, .. } => Some(owner),
            Repeat::Allowed | Repeat::Fresh => None,
        }
    }

    /// Returns the key that the caller sent.
    pub(crate) fn text(&self) -> Option<&SmolStr> {
        match self {
            Repeat::Once { key, .. } => Some(&key.text),
            Repeat::Allowed | Repeat::Fresh => None,
        }
    }
}

/// Issues a key that one life of one agent owns.
pub(crate) fn issue(
    team: &id::Team,
    endpoint: &id::Endpoint,
    incarnation: id::Incarnation,
    horizon: Duration,
) -> Key {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let owner = Owner {
        incarnation,
        expires: (now + horizon).as_secs(),
    };
    let issue = IssuedKey {
        endpoint: endpoint.clone(),
        owner,
        nonce: rand::random(),
    };
    Key {
        team: team.clone(),
        text: issue.to_smolstr(),
        owner: Some(owner),
    }
}

fn check(text: &str) -> Result<SmolStr, Fault> {
    let visible = text.bytes().all(|b| b.is_ascii_graphic());
    if text.is_empty() || text.len() > LONGEST || !visible {
        return Err(
            Fault::new(ErrorKind::KeyInvalid).detail("a key is 1 to 255 visible ASCII characters")
        );
    }
    Ok(SmolStr::new(text))
}
