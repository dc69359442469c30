use std::{error, fmt};

use serde::{Deserialize, Serialize};

/// Locates a value of a document that breaks a rule.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Violation {
    /// Path in the document, such as `endpoints.e-1.limit.cold`.
    pub path: String,
    /// The value there; empty if it cannot be shown.
    pub value: String,
    /// Rule that is broken.
    pub rule: String,
    /// How to mend it.
    #[serde(rename = "mend")]
    pub remedy: String,
}

impl Violation {
    /// Creates a description of a mistake.
    #[must_use]
    pub fn new(path: &str, value: impl fmt::Display, rule: &str, remedy: &str) -> Self {
        Self {
            path: path.to_owned(),
            value: value.to_string(),
            rule: rule.to_owned(),
            remedy: remedy.to_owned(),
        }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: ", self.path)?;
        if !self.value.is_empty() {
            write!(f, "`{}` ", self.value)?;
        }
        write!(f, "{}; {}", self.rule, self.remedy)
    }
}

impl error::Error for Violation {}
