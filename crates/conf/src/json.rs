use std::{error, fmt, fs, io::Read as _, path::Path};

use anyhow::Context as _;
use json_comments::StripComments;
use serde::de::DeserializeOwned;

/// Error in a file of JSON with comments, with its location.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error {
    /// Path of the file, as given to [`load`] or [`parse`].
    pub file: String,
    /// Line of the error, counted from 1.
    pub line: usize,
    /// Column of the error, counted from 1.
    pub column: usize,
    /// Path of the field, such as `listen.callers`.
    pub field: String,
    /// Description of the error and how to fix it.
    pub message: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}:{}:{}: field `{}`: {}",
            self.file, self.line, self.column, self.field, self.message
        )
    }
}

impl error::Error for Error {}

/// Reads and parses a file of JSON with comments.
///
/// # Errors
///
/// Returns an error if the file cannot be read, or an [`Error`] that locates the first invalid part.
pub fn load<T: DeserializeOwned>(path: &Path) -> anyhow::Result<T> {
    let file = path.display().to_string();
    let text = fs::read_to_string(path).with_context(|| format!("{file}: cannot be read"))?;
    Ok(parse(&file, &text)?)
}

/// Parses JSON with comments.
///
/// # Errors
///
/// Returns the location of the first syntax error, unknown or missing field, or value that its
/// field does not allow.
pub fn parse<T: DeserializeOwned>(file: &str, text: &str) -> Result<T, Error> {
    let plain = strip_comments(file, text)?;
    let mut deserializer = serde_json::Deserializer::from_str(&plain);
    let value = serde_path_to_error::deserialize(&mut deserializer).map_err(|e| {
        let field = e.path().to_string().replace('?', ".");
        located_error(file, field, e.inner())
    })?;
    deserializer
        .end()
        .map_err(|e| located_error(file, ".".to_owned(), &e))?;
    Ok(value)
}

/// Replaces comments by spaces, so that lines and columns keep their numbers.
fn strip_comments(file: &str, text: &str) -> Result<String, Error> {
    let mut plain = String::with_capacity(text.len());
    StripComments::new(text.as_bytes())
        .read_to_string(&mut plain)
        .map_err(|e| Error {
            file: file.to_owned(),
            line: text.lines().count(),
            column: 1,
            field: ".".to_owned(),
            message: format!("a comment or string is not closed ({e}); close it"),
        })?;
    Ok(plain)
}

fn located_error(file: &str, field: String, error: &serde_json::Error) -> Error {
    let full_message = error.to_string();
    let suffix = format!(" at line {} column {}", error.line(), error.column());
    Error {
        file: file.to_owned(),
        line: error.line(),
        column: error.column(),
        field,
        message: full_message
            .strip_suffix(&suffix)
            .unwrap_or(&full_message)
            .to_owned(),
    }
}
