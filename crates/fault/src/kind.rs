use serde::{Deserialize, Serialize};

/// Names everything that can go wrong with a request, as far as its caller is concerned.
///
/// The list is closed: each kind has exactly one row in the table behind [`ErrorKind::response`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ErrorKind {
    /// The request has no team key, or one that no team holds.
    Unauthenticated,
    /// No route of any service matches the method and path.
    NoRoute,
    /// The request cannot be parsed or misuses a header.
    Malformed,
    /// The request's headers or body are larger than the limit.
    TooLarge,
    /// The caller sent its request too slowly.
    SlowCaller,
    /// The team has used up its rate.
    TeamLimit,
    /// No endpoint of the service is reachable and willing.
    NoEndpoint,
    /// Every willing endpoint is at its limit.
    Overloaded,
    /// The endpoint is in cold start and already has what it can bear.
    Cold,
    /// The endpoint is leaving.
    Leaving,
    /// The endpoint's availability zone is out of service.
    ZoneOut,
    /// The offer names a service that the endpoint does not run.
    UnknownService,
    /// The sender's configuration is older than the receiver's.
    StaleVersion,
    /// The deadline passed before the request was started.
    DeadlineExpired,
    /// The request is suspected of crashing the endpoints that run it.
    Suspect,
    /// The store of run records is full; nothing was forgotten and nothing was run.
    RecordsFull,
    /// The idempotency key is in use with a different request.
    KeyMismatch,
    /// The idempotency key is malformed, expired or not issued by this fleet.
    KeyInvalid,
    /// Another run under the same idempotency key is still in progress.
    InProgress,
    /// The process that owned the key is gone, or too young to know whether the key was used.
    OwnerLost,
    /// The connection to the endpoint broke after the request was started.
    Interrupted,
    /// The endpoint's answer is incomplete or belongs to another request.
    BadAnswer,
    /// The deadline passed while the request was running.
    DeadlineRunning,
    /// The process is shutting down and takes no new requests.
    ShuttingDown,
    /// The process has no configuration yet.
    NotReady,
    /// A defect inside the system.
    Internal,
}

impl ErrorKind {
    /// Lists every kind, in the order of declaration.
    pub const ALL: [ErrorKind; 26] = [
        ErrorKind::Unauthenticated,
        ErrorKind::NoRoute,
        ErrorKind::Malformed,
        ErrorKind::TooLarge,
        ErrorKind::SlowCaller,
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
        ErrorKind::DeadlineRunning,
        ErrorKind::ShuttingDown,
        ErrorKind::NotReady,
        ErrorKind::Internal,
    ];

    /// Returns the name used in problem types, logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            ErrorKind::Unauthenticated => "unauthenticated",
            ErrorKind::NoRoute => "no-route",
            ErrorKind::Malformed => "malformed",
            ErrorKind::TooLarge => "too-large",
            ErrorKind::SlowCaller => "slow-caller",
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
            ErrorKind::DeadlineRunning => "deadline-running",
            ErrorKind::ShuttingDown => "shutting-down",
            ErrorKind::NotReady => "not-ready",
            ErrorKind::Internal => "internal",
        }
    }
}
