use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{
    Change, Digest, Document, Number, Outcome, Piece, Position, Record, SCHEMA, Version, Violation,
    check, patch, record::RecordError,
};

/// Maximum number of pieces of one record.
const MAX_PIECES: u32 = 64;

/// Error for a record whose schema only a newer build supports; holds that schema's number.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NewerSchema(pub u32);

impl fmt::Display for NewerSchema {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "the log requires schema {}, but this build supports {SCHEMA}; upgrade the process",
            self.0
        )
    }
}

/// Configuration in force, computed by applying the records of the published log in order.
///
/// It depends only on the texts of the records and their order, so it is the same on every process.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Fold {
    position: Position,
    chain: Digest,
    version: Version,
    document: Option<Arc<Document>>,
    pieces: Option<Pieces>,
}

/// Consecutive pieces of an incomplete record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Pieces {
    /// Digest of the complete text.
    digest: Digest,
    /// Total number of pieces.
    of: u32,
    /// Number of pieces so far.
    parts: u32,
    /// Concatenated texts of the pieces so far.
    text: String,
}

impl Fold {
    /// Restores a fold from a peer's snapshot.
    pub(crate) const fn restore(
        position: Position,
        chain: Digest,
        version: Version,
        document: Option<Arc<Document>>,
        pieces: Option<Pieces>,
    ) -> Self {
        Self {
            position,
            chain,
            version,
            document,
            pieces,
        }
    }

    /// Returns the version in force.
    #[must_use]
    pub const fn version(&self) -> Version {
        self.version
    }

    /// Returns the document in force, or `None` before the first.
    #[must_use]
    pub const fn document(&self) -> Option<&Arc<Document>> {
        self.document.as_ref()
    }

    /// Returns the position of the last applied record, 0 before the first.
    #[must_use]
    pub const fn position(&self) -> Position {
        self.position
    }

    /// Returns the hash chain over all applied records, including rejected ones.
    #[must_use]
    pub const fn chain(&self) -> Digest {
        self.chain
    }

    /// Returns the pieces of the incomplete record at the end of the log, if any.
    pub(crate) const fn pieces(&self) -> Option<&Pieces> {
        self.pieces.as_ref()
    }

    /// Applies the next record of the published log.
    ///
    /// # Errors
    ///
    /// Returns an error, and changes nothing, if only a newer build supports the record's schema.
    pub fn apply(&mut self, text: &str) -> Result<Outcome, NewerSchema> {
        let previous_pieces = self.pieces.clone();
        let (document, outcome) = match self.evaluate(text) {
            Ok(result) => result,
            Err(RecordError::NewerSchema(schema)) => {
                self.pieces = previous_pieces;
                return Err(NewerSchema(schema));
            }
            Err(RecordError::Invalid(reason)) => (None, Outcome::Rejected(reason.into())),
        };
        self.position += 1;
        self.chain = extend_chain(self.chain, Digest::of(&[text.as_bytes()]));
        if !matches!(outcome, Outcome::Part(_)) {
            self.pieces = None;
        }
        if let Some(document) = document {
            self.version = Version {
                number: self.version.number + 1,
                chain: self.chain,
            };
            self.document = Some(Arc::new(document));
        }
        Ok(outcome)
    }

    /// Returns the outcome of a record and the new document, if any; stores pieces.
    fn evaluate(&mut self, text: &str) -> Result<(Option<Document>, Outcome), RecordError> {
        match Record::read(text, self.version.number)? {
            Record::Whole(whole) => self.validate(whole.document),
            Record::Change(change) => self.apply_change(&change),
            Record::Piece(piece) => self.apply_piece(piece),
        }
    }

    fn apply_change(&self, change: &Change) -> Result<(Option<Document>, Outcome), RecordError> {
        let Some(document) = &self.document else {
            return Err(RecordError::Invalid(
                "there is no document to change".into(),
            ));
        };
        let next = patch::merge(document, &change.patch).map_err(|e| rejection(&[e]))?;
        self.validate(next)
    }

    fn validate(&self, document: Document) -> Result<(Option<Document>, Outcome), RecordError> {
        let violations = check(&document);
        if !violations.is_empty() {
            return Err(rejection(&violations));
        }
        let number: Number = self.version.number + 1;
        Ok((Some(document), Outcome::Accepted(number)))
    }

    fn apply_piece(&mut self, piece: Piece) -> Result<(Option<Document>, Outcome), RecordError> {
        if let Err(reason) = self.add_piece(piece) {
            self.pieces = None;
            return Err(RecordError::Invalid(reason.into()));
        }
        let Some(complete) = self.pieces.take_if(|p| p.parts == p.of) else {
            let parts = self.pieces.as_ref().map_or(0, |p| p.parts);
            return Ok((None, Outcome::Part(parts)));
        };
        if Digest::of(&[complete.text.as_bytes()]) != complete.digest {
            let reason = "the joined parts do not match `digest`";
            return Err(RecordError::Invalid(reason.into()));
        }
        match Record::read(&complete.text, self.version.number)? {
            Record::Whole(whole) => self.validate(whole.document),
            Record::Change(change) => self.apply_change(&change),
            Record::Piece(_) => Err(RecordError::Invalid(
                "the joined parts form another part".into(),
            )),
        }
    }

    fn add_piece(&mut self, piece: Piece) -> Result<(), &'static str> {
        if piece.of == 0 || piece.of > MAX_PIECES || piece.part == 0 || piece.part > piece.of {
            return Err("`part` and `of` are not within 1 to 64");
        }
        if piece.part == 1 {
            self.pieces = Some(Pieces {
                digest: piece.digest,
                of: piece.of,
                parts: 1,
                text: piece.text,
            });
            return Ok(());
        }
        let Some(pieces) = &mut self.pieces else {
            return Err(
                "the preceding parts do not come directly before it; publish all parts again",
            );
        };
        let follows = pieces.digest == piece.digest
            && pieces.of == piece.of
            && pieces.parts + 1 == piece.part;
        if !follows {
            return Err("it does not follow the preceding part; publish all parts again");
        }
        pieces.parts += 1;
        pieces.text.push_str(&piece.text);
        Ok(())
    }
}

/// Returns the hash chain after a record with the given digest.
pub(crate) fn extend_chain(chain: Digest, record: Digest) -> Digest {
    Digest::of(&[chain.as_bytes(), record.as_bytes()])
}

fn rejection(violations: &[Violation]) -> RecordError {
    let first = violations.first().map(ToString::to_string);
    let mut reason = first.unwrap_or_default();
    if violations.len() > 1 {
        reason = format!("{reason} (and {} more)", violations.len() - 1);
    }
    RecordError::Invalid(reason)
}
