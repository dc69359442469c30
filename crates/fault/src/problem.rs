use std::{error, fmt, time::Duration};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{ErrorKind, Retry, Run};

/// Media type of the body of a refusal.
pub const PROBLEM_TYPE: &str = "application/problem+json";

/// Prefix of the `type` member of a problem.
const TYPE_PREFIX: &str = "urn:apricotridge:problem:";

/// Describes one failed request: its kind, and context kept apart from it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Fault {
    kind: ErrorKind,
    retry_after: Option<Duration>,
    detail: Option<SmolStr>,
    run: Option<Run>,
}

/// # Construction
impl Fault {
    /// Creates a fault without context.
    #[must_use]
    pub const fn new(kind: ErrorKind) -> Self {
        Self {
            kind,
            retry_after: None,
            detail: None,
            run: None,
        }
    }

    /// Sets when the caller should come back.
    #[must_use]
    pub const fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Sets a sentence of detail, which must not hold keys or bodies.
    #[must_use]
    pub fn detail(mut self, detail: impl Into<SmolStr>) -> Self {
        self.detail = Some(detail.into());
        self
    }

    /// Marks that the request may have been run, whatever the kind says by itself.
    #[must_use]
    pub const fn run_unknown(mut self) -> Self {
        self.run = Some(Run::Unknown);
        self
    }
}

/// # Reading
impl Fault {
    /// Returns the kind.
    #[must_use]
    pub const fn kind(&self) -> ErrorKind {
        self.kind
    }

    /// Returns what is known about the run.
    #[must_use]
    pub fn run(&self) -> Run {
        self.run.unwrap_or(self.kind.response().run)
    }

    /// Returns when to come back, if that was set and coming back can help.
    #[must_use]
    pub fn retry_delay(&self) -> Option<Duration> {
        match self.kind.response().retry {
            Retry::Never => None,
            Retry::Later | Retry::Idempotent => self.retry_after,
        }
    }

    /// Returns the body of the refusal.
    #[must_use]
    pub fn problem(&self, request: &str) -> Problem {
        let answer = self.kind.response();
        Problem {
            type_: format!("{TYPE_PREFIX}{}", self.kind.name()),
            title: answer.title.to_owned(),
            status: answer.status.as_u16(),
            detail: self.detail.as_ref().map(ToString::to_string),
            instance: format!("urn:apricotridge:request:{request}"),
            run: self.run(),
            retry: answer.retry,
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

/// Body of a refusal, as RFC 9457 defines it, with the members `run` and `retry` added.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Problem {
    /// URN of the kind.
    #[serde(rename = "type")]
    pub type_: String,
    /// One sentence for people.
    pub title: String,
    /// HTTP status.
    pub status: u16,
    /// What is particular to this occurrence.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub detail: Option<String>,
    /// URN of the request.
    pub instance: String,
    /// What is known about the run.
    pub run: Run,
    /// Whether the caller should come back.
    pub retry: Retry,
}
