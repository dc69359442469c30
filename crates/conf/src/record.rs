use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::Value;

use crate::{Digest, Document, Number, SCHEMA};

/// Largest value that the platform holds, in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;
/// Text of a piece in bytes; quoting at most doubles ordinary JSON.
const PIECE: usize = 400 * 1024;

/// One published change of the configuration.
#[derive(Clone, Debug, Serialize)]
#[serde(untagged)]
pub enum Record {
    /// The whole of the next version.
    Whole(Whole),
    /// A change of the version in force.
    Change(Change),
    /// A piece of a record that is longer than a value of the platform.
    Piece(Piece),
}

/// Shows what a record is and which schema it asks for, without reading all of it.
#[derive(Deserialize)]
struct Peek {
    number: Option<Number>,
    base: Option<Number>,
    part: Option<u32>,
    #[serde(alias = "patch")]
    document: Option<Inner>,
}

#[derive(Deserialize)]
struct Inner {
    schema: Option<u32>,
}

/// Says why the text of a record is not taken.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Unread {
    /// It is wrong for every build.
    Wrong(String),
    /// It asks for a schema that only a newer build can read.
    Newer(u32),
}

impl Record {
    /// Reads a record that follows version `number`; what cannot follow it is not read further.
    pub(crate) fn read(text: &str, number: Number) -> Result<Self, Unread> {
        let peek: Peek =
            serde_json::from_str(text).map_err(|e| wrong(format!("is not a record: {e}")))?;
        if let Some(own) = peek.number
            && own != number + 1
        {
            let text = format!("number {own} does not follow version {number}, which is in force");
            return Err(wrong(text));
        }
        if let Some(base) = peek.base
            && base != number
        {
            let text = format!("base {base} is not version {number}, which is in force");
            return Err(wrong(text));
        }
        let schema = peek.document.and_then(|inner| inner.schema);
        if let Some(schema) = schema.filter(|schema| *schema > SCHEMA) {
            return Err(Unread::Newer(schema));
        }
        match (peek.number, peek.base, peek.part) {
            (Some(_), None, None) => parse(text).map(Self::Whole),
            (None, Some(_), None) => parse(text).map(Self::Change),
            (None, None, Some(_)) => parse(text).map(Self::Piece),
            _ => Err(wrong(
                "has not just one of `number`, `base` and `part`".into(),
            )),
        }
    }
}

fn parse<T: DeserializeOwned>(text: &str) -> Result<T, Unread> {
    let mut deserializer = serde_json::Deserializer::from_str(text);
    serde_path_to_error::deserialize(&mut deserializer)
        .map_err(|e| wrong(format!("{}: {}; see docs/CONFIG.md", e.path(), e.inner())))
}

const fn wrong(reason: String) -> Unread {
    Unread::Wrong(reason)
}

/// Publishes a whole document.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Whole {
    /// Number of the version, one more than that in force.
    pub number: Number,
    /// The document.
    pub document: Document,
}

/// Publishes a change against a version.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Version that the change was made against.
    pub base: Number,
    /// JSON merge patch of the document, as in RFC 7396.
    pub patch: Value,
    /// Who made it and why; for people.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub note: Option<String>,
}

/// Publishes a piece of a longer record; the pieces follow each other in the log.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Piece {
    /// Index of the piece, counted from 1.
    pub part: u32,
    /// Number of pieces.
    pub of: u32,
    /// Digest of the whole record's text.
    pub digest: Digest,
    /// Text of the piece.
    pub text: String,
}

/// Splits the text of a record into values that the platform holds; a short one stays whole.
#[must_use]
pub fn split(text: &str) -> Vec<String> {
    if text.len() <= MAX_VALUE_BYTES {
        return vec![text.to_owned()];
    }
    let digest = Digest::of(&[text.as_bytes()]);
    let pieces = cut(text);
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

fn cut(mut text: &str) -> Vec<&str> {
    let mut pieces = Vec::new();
    while text.len() > PIECE {
        let end = (0..=PIECE).rev().find(|i| text.is_char_boundary(*i));
        let (piece, rest) = text.split_at(end.unwrap_or(PIECE));
        pieces.push(piece);
        text = rest;
    }
    pieces.push(text);
    pieces
}
