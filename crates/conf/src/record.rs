use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::Value;

use crate::{Digest, Document, Number, SCHEMA};

/// Maximum size of a value that the platform's configuration service accepts, in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;
/// Maximum size of a piece's text in bytes, before JSON escaping.
///
/// Escaping at most doubles ordinary JSON, so a piece fits into [`MAX_VALUE_BYTES`].
const MAX_PIECE_BYTES: usize = 400 * 1024;

/// Record of the published log, which changes the configuration.
#[derive(Clone, Debug, Serialize)]
#[serde(untagged)]
pub enum Record {
    /// The complete document of the next version.
    Whole(Whole),
    /// A patch of the version in force.
    Change(Change),
    /// A piece of a record that exceeds [`MAX_VALUE_BYTES`].
    Piece(Piece),
}

/// Fields that determine the type and schema of a record, read before the rest is parsed.
#[derive(Deserialize)]
struct Header {
    number: Option<Number>,
    base: Option<Number>,
    part: Option<u32>,
    #[serde(alias = "patch")]
    document: Option<DocumentHeader>,
}

#[derive(Deserialize)]
struct DocumentHeader {
    schema: Option<u32>,
}

/// Reason why a record is not applied.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum RecordError {
    /// Every build rejects the record, for this reason.
    Invalid(String),
    /// The record requires this schema, which only a newer build supports.
    NewerSchema(u32),
}

impl Record {
    /// Parses a record that is to follow version `number`.
    ///
    /// Whether it can follow that version is checked before the rest is parsed.
    pub(crate) fn read(text: &str, number: Number) -> Result<Self, RecordError> {
        let header: Header =
            serde_json::from_str(text).map_err(|e| invalid(format!("is not a record: {e}")))?;
        if let Some(next) = header.number
            && next != number + 1
        {
            let reason =
                format!("number {next} does not follow version {number}, which is in force");
            return Err(invalid(reason));
        }
        if let Some(base) = header.base
            && base != number
        {
            let reason = format!("base {base} is not version {number}, which is in force");
            return Err(invalid(reason));
        }
        let schema = header.document.and_then(|document| document.schema);
        if let Some(schema) = schema.filter(|schema| *schema > SCHEMA) {
            return Err(RecordError::NewerSchema(schema));
        }
        match (header.number, header.base, header.part) {
            (Some(_), None, None) => parse(text).map(Self::Whole),
            (None, Some(_), None) => parse(text).map(Self::Change),
            (None, None, Some(_)) => parse(text).map(Self::Piece),
            _ => Err(invalid(
                "does not have exactly one of `number`, `base` and `part`".into(),
            )),
        }
    }
}

fn parse<T: DeserializeOwned>(text: &str) -> Result<T, RecordError> {
    let mut deserializer = serde_json::Deserializer::from_str(text);
    serde_path_to_error::deserialize(&mut deserializer)
        .map_err(|e| invalid(format!("{}: {}; see docs/CONFIG.md", e.path(), e.inner())))
}

const fn invalid(reason: String) -> RecordError {
    RecordError::Invalid(reason)
}

/// Record with a complete document.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Whole {
    /// Number of the new version: one more than that of the version in force.
    pub number: Number,
    /// Complete document of the new version.
    pub document: Document,
}

/// Record with a patch of a version.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Number of the version that the patch applies to.
    pub base: Number,
    /// JSON merge patch of the document as in RFC 7396.
    pub patch: Value,
    /// Author and reason of the change, for operators.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub note: Option<String>,
}

/// Record with a piece of a longer record; the pieces are consecutive in the log.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Piece {
    /// Index of the piece, counted from 1.
    pub part: u32,
    /// Total number of pieces.
    pub of: u32,
    /// Digest of the complete text of the longer record.
    pub digest: Digest,
    /// Text of the piece.
    pub text: String,
}

/// Splits the text of a record into values of at most [`MAX_VALUE_BYTES`].
///
/// Text that fits into one value is returned unchanged.
#[must_use]
pub fn split(text: &str) -> Vec<String> {
    if text.len() <= MAX_VALUE_BYTES {
        return vec![text.to_owned()];
    }
    let digest = Digest::of(&[text.as_bytes()]);
    let pieces = split_text(text);
    let of = u32::try_from(pieces.len()).unwrap_or(u32::MAX);
    let values = (1..).zip(pieces).map(|(part, text)| {
        let text = text.to_owned();
        let piece = Piece {
            part,
            of,
            digest,
            text,
        };
        serde_json::to_string(&piece).unwrap_or_default()
    });
    values.collect()
}

fn split_text(mut text: &str) -> Vec<&str> {
    let mut pieces = Vec::new();
    while text.len() > MAX_PIECE_BYTES {
        let end = (0..=MAX_PIECE_BYTES)
            .rev()
            .find(|i| text.is_char_boundary(*i));
        let (piece, rest) = text.split_at(end.unwrap_or(MAX_PIECE_BYTES));
        pieces.push(piece);
        text = rest;
    }
    pieces.push(text);
    pieces
}
