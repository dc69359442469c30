use http::StatusCode;
use serde::{Deserialize, Serialize};

use crate::ErrorKind;

/// Says what is known about whether a refused request was run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Run {
    /// The request was not run and this send of it never will be.
    No,
    /// The request may have been run, in part or whole.
    Unknown,
}

/// Says whether sending the same request again can help.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Retry {
    /// The same request will be refused again.
    Never,
    /// The request may be sent again after the time in `Retry-After`.
    Later,
    /// Only an idempotent request may be sent again.
    Idempotent,
}

/// Holds one row of the table from kind to answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Response {
    /// HTTP status of the answer.
    pub status: StatusCode,
    /// What is known about the run.
    pub run: Run,
    /// Whether the caller should come back.
    pub retry: Retry,
    /// One sentence for people, free of request data.
    pub title: &'static str,
}

const fn row(status: StatusCode, run: Run, retry: Retry, title: &'static str) -> Response {
    Response {
        status,
        run,
        retry,
        title,
    }
}

impl ErrorKind {
    /// Returns the answer that callers get for this kind.
    #[must_use]
    #[expect(clippy::too_many_lines, reason = "one row for each kind")]
    pub const fn response(self) -> Response {
        use Retry::{Idempotent, Later, Never};
        use Run::{No, Unknown};
        match self {
            ErrorKind::Unauthenticated => row(
                StatusCode::UNAUTHORIZED,
                No,
                Never,
                "The team key is missing or not known.",
            ),
            ErrorKind::NoRoute => row(
                StatusCode::NOT_FOUND,
                No,
                Never,
                "No route matches the method and path.",
            ),
            ErrorKind::Malformed => row(
                StatusCode::BAD_REQUEST,
                No,
                Never,
                "The request is malformed.",
            ),
            ErrorKind::TooLarge => row(
                StatusCode::PAYLOAD_TOO_LARGE,
                No,
                Never,
                "The request is larger than the limit.",
            ),
            ErrorKind::SlowCaller => row(
                StatusCode::REQUEST_TIMEOUT,
                No,
                Later,
                "The request arrived too slowly.",
            ),
            ErrorKind::TeamLimit => row(
                StatusCode::TOO_MANY_REQUESTS,
                No,
                Later,
                "The team has used up its rate.",
            ),
            ErrorKind::NoEndpoint => row(
                StatusCode::SERVICE_UNAVAILABLE,
                No,
                Later,
                "No endpoint of the service can be reached.",
            ),
            ErrorKind::Overloaded => row(
                StatusCode::SERVICE_UNAVAILABLE,
                No,
                Later,
                "The service is at its limit.",
            ),
            ErrorKind::Cold => row(
                StatusCode::SERVICE_UNAVAILABLE,
                No,
                Later,
                "The endpoint is in cold start.",
            ),
            ErrorKind::Leaving => row(
                StatusCode::SERVICE_UNAVAILABLE,
                No,
                Later,
                "The endpoint is leaving.",
            ),
            ErrorKind::ZoneOut => row(
                StatusCode::SERVICE_UNAVAILABLE,
                No,
                Later,
                "The availability zone is out of service.",
            ),
            ErrorKind::UnknownService => row(
                StatusCode::SERVICE_UNAVAILABLE,
                No,
                Later,
                "The endpoint does not run the service.",
            ),
            ErrorKind::StaleVersion => row(
                StatusCode::SERVICE_UNAVAILABLE,
                No,
                Later,
                "The sender's configuration is stale.",
            ),
            ErrorKind::DeadlineExpired => row(
                StatusCode::GATEWAY_TIMEOUT,
                No,
                Later,
                "The deadline passed before the request was started.",
            ),
            ErrorKind::Suspect => row(
                StatusCode::UNPROCESSABLE_ENTITY,
                No,
                Later,
                "The request is suspected of crashing endpoints.",
            ),
            ErrorKind::RecordsFull => row(
                StatusCode::SERVICE_UNAVAILABLE,
                No,
                Later,
                "The store of run records is full.",
            ),
            ErrorKind::KeyMismatch => row(
                StatusCode::UNPROCESSABLE_ENTITY,
                No,
                Never,
                "The idempotency key belongs to a different request.",
            ),
            ErrorKind::KeyInvalid => row(
                StatusCode::BAD_REQUEST,
                No,
                Never,
                "The idempotency key is malformed or expired.",
            ),
            ErrorKind::InProgress => row(
                StatusCode::CONFLICT,
                Unknown,
                Later,
                "A run under this idempotency key is in progress.",
            ),
            ErrorKind::OwnerLost => row(
                StatusCode::BAD_GATEWAY,
                Unknown,
                Never,
                "The owner of the idempotency key is gone.",
            ),
            ErrorKind::Interrupted => row(
                StatusCode::BAD_GATEWAY,
                Unknown,
                Idempotent,
                "The connection broke after the request was started.",
            ),
            ErrorKind::BadAnswer => row(
                StatusCode::BAD_GATEWAY,
                Unknown,
                Idempotent,
                "The endpoint's answer is not whole.",
            ),
            ErrorKind::DeadlineRunning => row(
                StatusCode::GATEWAY_TIMEOUT,
                Unknown,
                Idempotent,
                "The deadline passed while the request was running.",
            ),
            ErrorKind::ShuttingDown => row(
                StatusCode::SERVICE_UNAVAILABLE,
                No,
                Later,
                "The process is shutting down.",
            ),
            ErrorKind::NotReady => row(
                StatusCode::SERVICE_UNAVAILABLE,
                No,
                Later,
                "The process has no configuration yet.",
            ),
            ErrorKind::Internal => row(
                StatusCode::INTERNAL_SERVER_ERROR,
                Unknown,
                Idempotent,
                "An internal error occurred.",
            ),
        }
    }
}
