use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{
    Change, Digest, Document, Number, Outcome, Piece, Position, Record, SCHEMA, Version, Violation,
    check, patch, record::Unread,
};

/// Most pieces of one record.
const PIECE_LIMIT: u32 = 64;

/// Tells that the log asks for a schema that only a newer build can read; the fold stays as it is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NewerSchema(pub u32);

impl fmt::Display for NewerSchema {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "the log asks for schema {}, this build reads {SCHEMA}; upgrade it",
            self.0
        )
    }
}

/// Configuration in force: the result of folding the records published so far.
///
/// The result depends on the texts of the records and their order, and on nothing else.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Fold {
    position: Position,
    chain: Digest,
    version: Version,
    document: Option<Arc<Document>>,
    pieces: Option<Pieces>,
}

/// Pieces of a record that is not complete yet.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Pieces {
    /// Digest of the whole text.
    digest: Digest,
    of: u32,
    parts: u32,
    text: String,
}

impl Fold {
    /// Rebuilds a fold from what a peer told of its own.
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

    /// Returns the place of the last record that was folded, 0 before any.
    #[must_use]
    pub const fn position(&self) -> Position {
        self.position
    }

    /// Returns the hash of all records folded so far, also of those that were rejected.
    #[must_use]
    pub const fn chain(&self) -> Digest {
        self.chain
    }

    /// Returns the pieces of a record that is not complete.
    pub(crate) const fn pieces(&self) -> Option<&Pieces> {
        self.pieces.as_ref()
    }

    /// Takes in the next published record.
    ///
    /// # Errors
    ///
    /// Returns an error if only a newer build can read the record; nothing is changed then.
    pub fn apply(&mut self, text: &str) -> Result<Outcome, NewerSchema> {
        let before = self.pieces.clone();
        let (document, outcome) = match self.decide(text) {
            Ok(decided) => decided,
            Err(Unread::Newer(schema)) => {
                self.pieces = before;
                return Err(NewerSchema(schema));
            }
            Err(Unread::Wrong(reason)) => (None, Outcome::Rejected(reason.into())),
        };
        self.position += 1;
        self.chain = link(self.chain, Digest::of(&[text.as_bytes()]));
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

    /// Decides on a record; keeps the pieces of a longer one.
    fn decide(&mut self, text: &str) -> Result<(Option<Document>, Outcome), Unread> {
        match Record::read(text, self.version.number)? {
            Record::Whole(whole) => self.accept(whole.document),
            Record::Change(change) => self.change(&change),
            Record::Piece(piece) => self.piece(piece),
        }
    }

    fn change(&self, change: &Change) -> Result<(Option<Document>, Outcome), Unread> {
        let Some(document) = &self.document else {
            return Err(Unread::Wrong("there is no document to change".into()));
        };
        let next = patch::merge(document, &change.patch).map_err(|e| refuse(&[e]))?;
        self.accept(next)
    }

    fn accept(&self, document: Document) -> Result<(Option<Document>, Outcome), Unread> {
        let mistakes = check(&document);
        if !mistakes.is_empty() {
            return Err(refuse(&mistakes));
        }
        let number: Number = self.version.number + 1;
        Ok((Some(document), Outcome::Accepted(number)))
    }

    fn piece(&mut self, piece: Piece) -> Result<(Option<Document>, Outcome), Unread> {
        if let Err(reason) = self.keep(piece) {
            self.pieces = None;
            return Err(Unread::Wrong(reason.into()));
        }
        let Some(whole) = self.pieces.take_if(|p| p.parts == p.of) else {
            let parts = self.pieces.as_ref().map_or(0, |p| p.parts);
            return Ok((None, Outcome::Part(parts)));
        };
        if Digest::of(&[whole.text.as_bytes()]) != whole.digest {
            let reason = "the parts do not make up the text that `digest` names";
            return Err(Unread::Wrong(reason.into()));
        }
        match Record::read(&whole.text, self.version.number)? {
            Record::Whole(inner) => self.accept(inner.document),
            Record::Change(change) => self.change(&change),
            Record::Piece(_) => Err(Unread::Wrong("the parts make up another part".into())),
        }
    }

    fn keep(&mut self, piece: Piece) -> Result<(), &'static str> {
        if piece.of == 0 || piece.of > PIECE_LIMIT || piece.part == 0 || piece.part > piece.of {
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
            return Err("the parts before it do not stand just before; publish all anew");
        };
        let fits = pieces.digest == piece.digest
            && pieces.of == piece.of
            && pieces.parts + 1 == piece.part;
        if !fits {
            return Err("it does not follow the part before it; publish all anew");
        }
        pieces.parts += 1;
        pieces.text.push_str(&piece.text);
        Ok(())
    }
}

/// Adds a record's digest to a chain.
pub(crate) fn link(chain: Digest, record: Digest) -> Digest {
    Digest::of(&[chain.as_bytes(), record.as_bytes()])
}

fn refuse(mistakes: &[Violation]) -> Unread {
    let first = mistakes.first().map(ToString::to_string);
    let mut reason = first.unwrap_or_default();
    if mistakes.len() > 1 {
        reason = format!("{reason} (and {} more)", mistakes.len() - 1);
    }
    Unread::Wrong(reason)
}
