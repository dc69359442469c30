use conf::{Document, TeamKey, id};
use fault::{ErrorKind, Fault};
use http::{HeaderMap, header};

/// Scheme of the `Authorization` header.
const SCHEME: &str = "Bearer ";

/// Finds the team that sent a request, by the key in its `Authorization` header.
///
/// # Errors
///
/// Returns [`ErrorKind::Unauthenticated`] if there is no key or no team holds it.
pub(crate) fn authenticate(document: &Document, headers: &HeaderMap) -> Result<id::Team, Fault> {
    let secret = headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix(SCHEME))
        .ok_or(ErrorKind::Unauthenticated)?;
    Ok(TeamKey::new(secret)
        .team(document)
        .ok_or(ErrorKind::Unauthenticated)?)
}
