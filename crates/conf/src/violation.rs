use std::{error, fmt};

use serde::{Deserialize, Serialize};

/// Value of a document that violates a rule.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Violation {
    /// Path of the value in the document, such as `endpoints.e-1.limit.cold`.
    pub path: String,
    /// Value as text; empty if it cannot be shown.
    pub value: String,
    /// Statement that completes `value` to a sentence, such as "is zero".
    pub rule: String,
    /// Instruction that fixes the violation.
    #[serde(rename = "mend")]
    pub remedy: String,
}

impl Violation {
    /// Creates a violation of `rule` by the value at `path`.
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
