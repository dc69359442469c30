use conf::{Route, id};
use fault::{ErrorKind, Fault};
use http::HeaderMap;
use smol_str::{SmolStr, format_smolstr};
use wire::Key;

/// Header that carries an idempotency key.
pub(crate) const HEADER: &str = "idempotency-key";
/// Longest key in bytes.
const LONGEST: usize = 255;

/// Returns the idempotency key of a request: `None` if its route may be repeated, the caller's own
/// key, or a fresh one.
///
/// # Errors
///
/// Returns [`ErrorKind::KeyInvalid`] if the caller's key is empty, too long or not visible ASCII.
pub(crate) fn key(
    route: &Route,
    team: &id::Team,
    headers: &HeaderMap,
) -> Result<Option<Key>, Fault> {
    if route.repeatable {
        return Ok(None);
    }
    let text = match headers.get(HEADER) {
        Some(value) => own(value.to_str().unwrap_or_default())?,
        None => format_smolstr!("fresh-{:032x}", rand::random::<u128>()),
    };
    Ok(Some(Key {
        team: team.clone(),
        text,
        owner: None,
    }))
}

fn own(text: &str) -> Result<SmolStr, Fault> {
    let visible = text.bytes().all(|b| b.is_ascii_graphic());
    if text.is_empty() || text.len() > LONGEST || !visible {
        return Err(
            Fault::new(ErrorKind::KeyInvalid).detail("a key is 1 to 255 visible ASCII characters")
        );
    }
    Ok(SmolStr::new(text))
}
