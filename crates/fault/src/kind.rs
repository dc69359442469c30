use serde::{Deserialize, Serialize};

/// Reason why a request failed, as reported to its client.
///
/// [`ErrorKind::response`] returns the HTTP response for each kind.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ErrorKind {
    /// The request has no team key, or a key that belongs to no team.
    Unauthenticated,
    /// No route matches the method and path.
    NoRoute,
    /// The request cannot be parsed or has an invalid header.
    Malformed,
    /// The request's headers or body are larger than the limit.
    TooLarge,
    /// The client sent its request too slowly.
    #[serde(rename = "slow-caller")]
    SlowClient,
    /// The team exceeded its request rate.
    TeamLimit,
    /// No endpoint of the service can be reached and accepts requests.
    NoEndpoint,
    /// Every endpoint that accepts requests is at its limit.
    Overloaded,
    /// The endpoint is in cold start and at its lower limit for that time.
    Cold,
    /// The endpoint is being removed from service and accepts no new requests.
    Leaving,
    /// The endpoint's availability zone is out of service.
    ZoneOut,
    /// The offer names a service that the endpoint does not run.
    UnknownService,
    /// The sender's configuration is older than the receiver's.
    StaleVersion,
    /// The deadline passed before the request started to run.
    DeadlineExpired,
    /// The request is suspected of crashing the endpoints that run it.
    Suspect,
    /// The store of run records is full; no record was evicted and the request did not run.
    RecordsFull,
    /// The idempotency key is in use with a different request.
    KeyMismatch,
    /// The idempotency key is malformed, expired or not issued by this fleet.
    KeyInvalid,
    /// Another run under the same idempotency key is still in progress.
    InProgress,
    /// The process that owned the idempotency key is gone, or started too recently to know whether
    /// the key was used.
    OwnerLost,
    /// The connection to the endpoint failed after the request started to run.
    Interrupted,
    /// The endpoint's response is incomplete or belongs to another request.
    BadAnswer,
    /// The endpoint failed the request with a status that would state that it did not run.
    EndpointFailed,
    /// The deadline passed while the request was running.
    DeadlineRunning,
    /// The process is shutting down and accepts no new requests.
    ShuttingDown,
    /// The process has not received a configuration yet.
    NotReady,
    /// An internal error occurred.
    Internal,
}

impl ErrorKind {
    /// Every kind, in the order of declaration.
    pub const ALL: [ErrorKind; 27] = [
        ErrorKind::Unauthenticated,
        ErrorKind::NoRoute,
        ErrorKind::Malformed,
        ErrorKind::TooLarge,
        ErrorKind::SlowClient,
        ErrorKind::TeamLimit,
        ErrorKind::NoEndpoint,
        ErrorKind::Overloaded,
        ErrorKind::Cold,
        ErrorKind::Leaving,
        ErrorKind::ZoneOut,
        ErrorKind::UnknownService,
        ErrorKind::StaleVersion,
        ErrorKind::DeadlineExpired,
        ErrorKind::Suspect,
        ErrorKind::RecordsFull,
        ErrorKind::KeyMismatch,
        ErrorKind::KeyInvalid,
        ErrorKind::InProgress,
        ErrorKind::OwnerLost,
        ErrorKind::Interrupted,
        ErrorKind::BadAnswer,
        ErrorKind::EndpointFailed,
        ErrorKind::DeadlineRunning,
        ErrorKind::ShuttingDown,
        ErrorKind::NotReady,
        ErrorKind::Internal,
    ];

    /// Returns the name of the kind in problem types, logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            ErrorKind::Unauthenticated => "unauthenticated",
            ErrorKind::NoRoute => "no-route",
            ErrorKind::Malformed => "malformed",
            ErrorKind::TooLarge => "too-large",
            ErrorKind::SlowClient => "slow-caller",
            ErrorKind::TeamLimit => "team-limit",
            ErrorKind::NoEndpoint => "no-endpoint",
            ErrorKind::Overloaded => "overloaded",
            ErrorKind::Cold => "cold",
            ErrorKind::Leaving => "leaving",
            ErrorKind::ZoneOut => "zone-out",
            ErrorKind::UnknownService => "unknown-service",
            ErrorKind::StaleVersion => "stale-version",
            ErrorKind::DeadlineExpired => "deadline-expired",
            ErrorKind::Suspect => "suspect",
            ErrorKind::RecordsFull => "records-full",
            ErrorKind::KeyMismatch => "key-mismatch",
            ErrorKind::KeyInvalid => "key-invalid",
            ErrorKind::InProgress => "in-progress",
            ErrorKind::OwnerLost => "owner-lost",
            ErrorKind::Interrupted => "interrupted",
            ErrorKind::BadAnswer => "bad-answer",
            ErrorKind::EndpointFailed => "endpoint-failed",
            ErrorKind::DeadlineRunning => "deadline-running",
            ErrorKind::ShuttingDown => "shutting-down",
            ErrorKind::NotReady => "not-ready",
            ErrorKind::Internal => "internal",
        }
    }
}
