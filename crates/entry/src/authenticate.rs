use conf::{Document, TeamKey, id};
use fault::{ErrorKind, Fault};
use http::{HeaderMap, header};

/// Scheme of the `Authorization` header, with the space that follows it.
const SCHEME_PREFIX: &str = "Bearer ";

/// Returns the team whose key is in the `Authorization` header of a request.
///
/// # Errors
///
/// Returns [`ErrorKind::Unauthenticated`] if there is no key or it belongs to no team.
pub(crate) fn authenticate(document: &Document, headers: &HeaderMap) -> Result<id::Team, Fault> {
    let secret = headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix(SCHEME_PREFIX))
        .ok_or(ErrorKind::Unauthenticated)?;
    Ok(TeamKey::new(secret)
        .team(document)
        .ok_or(ErrorKind::Unauthenticated)?)
}
