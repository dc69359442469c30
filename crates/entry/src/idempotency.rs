use std::time::{Duration, SystemTime, UNIX_EPOCH};

use conf::{Document, Route, id};
use fault::{ErrorKind, Fault};
use http::HeaderMap;
use once::IssuedKey;
use smol_str::{SmolStr, ToSmolStr as _};
use wire::{Key, Owner};

/// Name of the header that carries an idempotency key.
pub(crate) const HEADER: &str = "idempotency-key";
/// Largest length of a key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Whether a request may run more than once, and if not, which key prevents a second run.
#[derive(Clone, Debug)]
pub(crate) enum Mode {
    /// The request may run more than once and needs no key.
    Repeatable,
    /// The request may run once, and the client sent no key: the entry issues a new key for each
    /// offer, owned by the agent that gets the offer.
    KeyPerOffer,
    /// The request may run once, at the endpoint that owns the client's key.
    ClientKey {
        /// Key that the client sent.
        key: Key,
        /// Endpoint that owns the key.
        owner: id::Endpoint,
    },
}

impl Mode {
    /// Determines the mode of a request from its route and headers.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::KeyInvalid`] if the client's key is empty, too long, not visible ASCII
    /// or an issued key whose text is corrupt, and [`ErrorKind::OwnerLost`] if the configuration
    /// has no endpoint of the service that owns the key.
    pub(crate) fn read(
        route: &Route,
        service: &id::Service,
        document: &Document,
        team: &id::Team,
        headers: &HeaderMap,
    ) -> Result<Self, Fault> {
        if route.repeatable {
            return Ok(Mode::Repeatable);
        }
        let Some(value) = headers.get(HEADER) else {
            return Ok(Mode::KeyPerOffer);
        };
        let text = validate(value.to_str().unwrap_or_default())?;
        let mut key = Key {
            team: team.clone(),
            text,
            owner: None,
        };
        let serves =
            |name: &id::Endpoint| document.endpoints.get(name).map(|e| &e.service) == Some(service);
        let owner = if IssuedKey::has_prefix(&key.text) {
            let issued: IssuedKey = key.text.parse()?;
            key.owner = Some(issued.owner);
            Some(issued.endpoint).filter(|name| serves(name))
        } else {
            let names = document.endpoints.keys().filter(|name| serves(name));
            once::owner(names, &key).cloned()
        };
        let owner = owner.ok_or(ErrorKind::OwnerLost)?;
        Ok(Mode::ClientKey { key, owner })
    }

    /// Returns the only endpoint that may get the request, if the client sent a key.
    pub(crate) fn owner(&self) -> Option<&id::Endpoint> {
        match self {
            Mode::ClientKey { owner, .. } => Some(owner),
            Mode::Repeatable | Mode::KeyPerOffer => None,
        }
    }

    /// Returns the text of the key that the client sent.
    pub(crate) fn client_key(&self) -> Option<&SmolStr> {
        match self {
            Mode::ClientKey { key, .. } => Some(&key.text),
            Mode::Repeatable | Mode::KeyPerOffer => None,
        }
    }
}

/// Issues a key owned by one incarnation of an endpoint's agent, which expires after `lifetime`.
pub(crate) fn issue(
    team: &id::Team,
    endpoint: &id::Endpoint,
    incarnation: id::Incarnation,
    lifetime: Duration,
) -> Key {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let owner = Owner {
        incarnation,
        expires: (now + lifetime).as_secs(),
    };
    let issued = IssuedKey {
        endpoint: endpoint.clone(),
        owner,
        nonce: rand::random(),
    };
    Key {
        team: team.clone(),
        text: issued.to_smolstr(),
        owner: Some(owner),
    }
}

fn validate(text: &str) -> Result<SmolStr, Fault> {
    let visible = text.bytes().all(|b| b.is_ascii_graphic());
    if text.is_empty() || text.len() > MAX_KEY_BYTES || !visible {
        return Err(
            Fault::new(ErrorKind::KeyInvalid).detail("a key is 1 to 255 visible ASCII characters")
        );
    }
    Ok(SmolStr::new(text))
}
