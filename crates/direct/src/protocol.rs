use std::time::Duration;

use fault::{ErrorKind, Fault};
use http::{HeaderMap, HeaderValue, StatusCode, request, response};

use crate::metadata;

/// Maps request and response metadata to the HTTP headers and status codes of a platform.
pub trait Protocol: Send + Sync {
    /// Decodes the metadata of a client request.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Malformed`] if a required header is missing or a header is invalid.
    fn decode_request(&self, head: &request::Parts) -> Result<metadata::Request, ErrorKind>;

    /// Replaces the headers that are meant for entries by those that are meant for endpoints.
    fn rewrite_headers(&self, headers: &mut HeaderMap, metadata: &metadata::Forwarded<'_>);

    /// Decodes the metadata of an endpoint's response.
    fn decode_response(&self, head: &response::Parts) -> metadata::Response;

    /// Returns the status code of an error response.
    fn status(&self, fault: &Fault) -> StatusCode;

    /// Returns whether clients take a status code as the statement that the request did not run.
    fn states_not_run(&self, status: StatusCode) -> bool;

    /// Formats the value of the `Retry-After` header.
    fn retry_after(&self, after: Duration) -> HeaderValue;
}
