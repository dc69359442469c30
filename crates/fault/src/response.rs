use http::StatusCode;
use serde::{Deserialize, Serialize};

use crate::ErrorKind;

/// Whether a failed request may have run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Run {
    /// The request did not run, and will not run unless it is sent again.
    No,
    /// The request may have run, partly or completely.
    Unknown,
}

/// Whether a client should retry the same request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Retry {
    /// A retry will fail again.
    Never,
    /// The request may be retried after the time in `Retry-After`.
    Later,
    /// Only an idempotent request may be retried, since the first one may have run.
    Idempotent,
}

/// Response for an error kind.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Response {
    /// HTTP status code.
    pub status: StatusCode,
    /// Whether the request may have run.
    pub run: Run,
    /// Whether the client should retry.
    pub retry: Retry,
    /// Human-readable summary without data from the request.
    pub title: &'static str,
}

const fn new_response(status: StatusCode, run: Run, retry: Retry, title: &'static str) -> Response {
    Response {
        status,
        run,
        retry,
        title,
    }
}

impl ErrorKind {
    /// Returns the response that clients receive for this kind.
    #[must_use]
    #[expect(clippy::too_many_lines, reason = "one arm per kind")]
    pub const fn response(self) -> Response {
        use Retry::{Idempotent, Later, Never};
        use Run::{No, Unknown};
        match self {
            ErrorKind::Unauthenticated => new_response(
                StatusCode::UNAUTHORIZED,
                No,
                Never,
                "The team key is missing or not known.",
            ),
            ErrorKind::NoRoute => new_response(
                StatusCode::NOT_FOUND,
                No,
                Never,
                "No route matches the method and path.",
            ),
            ErrorKind::Malformed => new_response(
                StatusCode::BAD_REQUEST,
                No,
                Never,
                "The request is malformed.",
            ),
            ErrorKind::TooLarge => new_response(
                StatusCode::PAYLOAD_TOO_LARGE,
                No,
                Never,
                "The request is larger than the limit.",
            ),
            ErrorKind::SlowClient => new_response(
                StatusCode::REQUEST_TIMEOUT,
                No,
                Later,
                "The request arrived too slowly.",
            ),
            ErrorKind::TeamLimit => new_response(
                StatusCode::TOO_MANY_REQUESTS,
                No,
                Later,
                "The team has used up its rate.",
            ),
            ErrorKind::NoEndpoint => new_response(
                StatusCode::SERVICE_UNAVAILABLE,
                No,
                Later,
                "No endpoint of the service can be reached.",
            ),
            ErrorKind::Overloaded => new_response(
                StatusCode::SERVICE_UNAVAILABLE,
                No,
                Later,
                "The service is at its limit.",
            ),
            ErrorKind::Cold => new_response(
                StatusCode::SERVICE_UNAVAILABLE,
                No,
                Later,
                "The endpoint is in cold start.",
            ),
            ErrorKind::Leaving => new_response(
                StatusCode::SERVICE_UNAVAILABLE,
                No,
                Later,
                "The endpoint is leaving.",
            ),
            ErrorKind::ZoneOut => new_response(
                StatusCode::SERVICE_UNAVAILABLE,
                No,
                Later,
                "The availability zone is out of service.",
            ),
            ErrorKind::UnknownService => new_response(
                StatusCode::SERVICE_UNAVAILABLE,
                No,
                Later,
                "The endpoint does not run the service.",
            ),
            ErrorKind::StaleVersion => new_response(
                StatusCode::SERVICE_UNAVAILABLE,
                No,
                Later,
                "The sender's configuration is stale.",
            ),
            ErrorKind::DeadlineExpired => new_response(
                StatusCode::GATEWAY_TIMEOUT,
                No,
                Later,
                "The deadline passed before the request was started.",
            ),
            ErrorKind::Suspect => new_response(
                StatusCode::UNPROCESSABLE_ENTITY,
                No,
                Later,
                "The request is suspected of crashing endpoints.",
            ),
            ErrorKind::RecordsFull => new_response(
                StatusCode::SERVICE_UNAVAILABLE,
                No,
                Later,
                "The store of run records is full.",
            ),
            ErrorKind::KeyMismatch => new_response(
                StatusCode::UNPROCESSABLE_ENTITY,
                No,
                Never,
                "The idempotency key belongs to a different request.",
            ),
            ErrorKind::KeyInvalid => new_response(
                StatusCode::BAD_REQUEST,
                No,
                Never,
                "The idempotency key is malformed or expired.",
            ),
            ErrorKind::InProgress => new_response(
                StatusCode::CONFLICT,
                Unknown,
                Later,
                "A run under this idempotency key is in progress.",
            ),
            ErrorKind::OwnerLost => new_response(
                StatusCode::BAD_GATEWAY,
                Unknown,
                Never,
                "The owner of the idempotency key is gone.",
            ),
            ErrorKind::Interrupted => new_response(
                StatusCode::BAD_GATEWAY,
                Unknown,
                Idempotent,
                "The connection broke after the request was started.",
            ),
            ErrorKind::BadAnswer => new_response(
                StatusCode::BAD_GATEWAY,
                Unknown,
                Idempotent,
                "The endpoint's answer is not whole.",
            ),
            ErrorKind::EndpointFailed => new_response(
                StatusCode::BAD_GATEWAY,
                Unknown,
                Idempotent,
                "The endpoint failed the request, which may have run.",
            ),
            ErrorKind::DeadlineRunning => new_response(
                StatusCode::GATEWAY_TIMEOUT,
                Unknown,
                Idempotent,
                "The deadline passed while the request was running.",
            ),
            ErrorKind::ShuttingDown => new_response(
                StatusCode::SERVICE_UNAVAILABLE,
                No,
                Later,
                "The process is shutting down.",
            ),
            ErrorKind::NotReady => new_response(
                StatusCode::SERVICE_UNAVAILABLE,
                No,
                Later,
                "The process has no configuration yet.",
            ),
            ErrorKind::Internal => new_response(
                StatusCode::INTERNAL_SERVER_ERROR,
                Unknown,
                Idempotent,
                "An internal error occurred.",
            ),
        }
    }
}
