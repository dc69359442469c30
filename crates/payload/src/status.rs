use hyper::StatusCode;

/// Returns whether a status is that of a final response.
///
/// The HTTP library takes any three digits from 100 to 999, and returns a change of protocol like a final response.
#[must_use]
pub fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}
