use std::time::Duration;

use fault::{ErrorKind, Fault};
use http::{HeaderMap, HeaderValue, StatusCode, request, response};

use crate::{Answer, Ask, Offer};

/// Port to the names and formats in which callers and endpoints speak.
pub trait Dialect: Send + Sync {
    /// Decodes a caller's request.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Malformed`] if a header is missing or cannot be read.
    fn ask(&self, head: &request::Parts) -> Result<Ask, ErrorKind>;

    /// Replaces the headers that only callers send by those that only endpoints get.
    fn forward(&self, headers: &mut HeaderMap, offer: &Offer<'_>);

    /// Decodes an endpoint's answer.
    fn answer(&self, head: &response::Parts) -> Answer;

    /// Returns the status of a refusal.
    fn status(&self, fault: &Fault) -> StatusCode;

    /// Formats the time after which a caller should come back.
    fn retry_after(&self, after: Duration) -> HeaderValue;
}
