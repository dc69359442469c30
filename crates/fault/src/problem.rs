use std::{error, fmt, time::Duration};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{ErrorKind, Retry, Run};

/// Media type of the body of an error response.
pub const PROBLEM_TYPE: &str = "application/problem+json";

/// Prefix of a problem's `type` member, before the name of the error kind.
const TYPE_PREFIX: &str = "urn:apricotridge:problem:";

/// Failure of a request: its kind with optional details.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Fault {
    kind: ErrorKind,
    retry_after: Option<Duration>,
    detail: Option<SmolStr>,
    run: Option<Run>,
}

/// # Construction
impl Fault {
    /// Creates a fault without details.
    #[must_use]
    pub const fn new(kind: ErrorKind) -> Self {
        Self {
            kind,
            retry_after: None,
            detail: None,
            run: None,
        }
    }

    /// Sets the time after which the client may retry.
    #[must_use]
    pub const fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Sets a human-readable detail, which must not contain keys or bodies.
    #[must_use]
    pub fn detail(mut self, detail: impl Into<SmolStr>) -> Self {
        self.detail = Some(detail.into());
        self
    }

    /// Marks that the request may have run, also if the kind alone means that it did not.
    #[must_use]
    pub const fn run_unknown(mut self) -> Self {
        self.run = Some(Run::Unknown);
        self
    }
}

/// # Accessors
impl Fault {
    /// Returns the reason why the request failed.
    #[must_use]
    pub const fn kind(&self) -> ErrorKind {
        self.kind
    }

    /// Returns whether the request may have run.
    #[must_use]
    pub fn run(&self) -> Run {
        self.run.unwrap_or(self.kind.response().run)
    }

    /// Returns the time after which the client may retry, if it was set and the kind allows a retry.
    #[must_use]
    pub fn retry_delay(&self) -> Option<Duration> {
        match self.kind.response().retry {
            Retry::Never => None,
            Retry::Later | Retry::Idempotent => self.retry_after,
        }
    }

    /// Returns the body of the error response to the request with the id `request`.
    #[must_use]
    pub fn problem(&self, request: &str) -> Problem {
        let response = self.kind.response();
        Problem {
            type_: format!("{TYPE_PREFIX}{}", self.kind.name()),
            title: response.title.to_owned(),
            status: response.status.as_u16(),
            detail: self.detail.as_ref().map(ToString::to_string),
            instance: format!("urn:apricotridge:request:{request}"),
            run: self.run(),
            retry: response.retry,
        }
    }
}

impl From<ErrorKind> for Fault {
    fn from(kind: ErrorKind) -> Self {
        Self::new(kind)
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.kind.name())?;
        match &self.detail {
            Some(detail) => write!(f, ": {detail}"),
            None => Ok(()),
        }
    }
}

impl error::Error for Fault {}

/// Body of an error response: problem details as in RFC 9457, with the extension members `run` and
/// `retry`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Problem {
    /// URN of the error kind.
    #[serde(rename = "type")]
    pub type_: String,
    /// Human-readable summary of the error kind.
    pub title: String,
    /// HTTP status code.
    pub status: u16,
    /// Human-readable details of this occurrence.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub detail: Option<String>,
    /// URN of the request.
    pub instance: String,
    /// Whether the request may have run.
    pub run: Run,
    /// Whether the client should retry.
    pub retry: Retry,
}
