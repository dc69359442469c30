use std::{collections::VecDeque, fmt, sync::Arc};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{
    Digest, Fold, NewerSchema, Position, Verdict, Version, check,
    fold::{Pieces, link},
};

/// Records kept to teach peers.
const WINDOW: usize = 1024;
/// Text of the records kept to teach peers, in bytes.
const WINDOW_BYTES: usize = 2 * 1024 * 1024;
/// Digests kept to prove to a peer that a snapshot extends its own log; more than a day's changes.
const DIGESTS: usize = 32 * 1024;
/// Verdicts kept for operators.
const VERDICTS: usize = 512;
/// Records of one page.
const PAGE: usize = 256;
/// Digests in a snapshot for a process that knows nothing yet; they let it notice another log.
const TAIL: usize = 64;
/// Text of the records of one page in bytes; one record is always given.
const PAGE_BYTES: usize = 1024 * 1024;

/// What a process keeps of the published log: the fold, and enough to teach its peers.
#[derive(Clone, Debug, Default)]
pub struct History {
    fold: Fold,
    window: VecDeque<Entry>,
    bytes: usize,
    digests: VecDeque<Digest>,
    verdicts: VecDeque<Verdict>,
}

#[derive(Clone, Debug)]
struct Entry {
    /// Hash of the records before this one.
    before: Digest,
    text: SmolStr,
}

/// Records that one process hands to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Page {
    /// Place after which the records stand.
    pub after: Position,
    /// Hash of the records up to that place, or `None` if the sender cannot know it.
    pub chain: Option<Digest>,
    /// The records, oldest first, as they were published.
    pub records: Vec<SmolStr>,
    /// Result of the records in place of themselves, for a process that lacks many.
    pub snapshot: Option<Snapshot>,
}

/// Result of folding the log up to a place.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Snapshot {
    /// Place of the last record.
    position: Position,
    /// Hash of all records.
    chain: Digest,
    /// Version in force.
    version: Version,
    /// Document in force as JSON.
    document: Option<String>,
    /// Pieces of a record that is not complete.
    pieces: Option<Pieces>,
    /// Digests of the records after [`Page::after`]; they lead from that chain to this one.
    proof: Vec<Digest>,
    /// Newest verdicts.
    verdicts: Vec<Verdict>,
}

/// Says why records are not taken; the own state stays as it was.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The log that they stand in differs from the own one at or before this place.
    Fork(Position),
    /// They do not follow the own log closely enough to be checked.
    Gap(Position),
    /// Only a newer build can read what follows.
    NewerSchema(NewerSchema),
    /// A snapshot holds no valid document.
    InvalidDocument,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Fork(place) => write!(
                f,
                "another log than the own one was offered: they differ at or before record {place}; the own is kept"
            ),
            Self::Gap(place) => write!(
                f,
                "the records offered cannot be checked against the own log, which ends at record {place}"
            ),
            Self::NewerSchema(newer) => newer.fmt(f),
            Self::InvalidDocument => {
                f.write_str("a snapshot was offered that holds no valid document")
            }
        }
    }
}

impl History {
    /// Returns the result of the records so far.
    #[must_use]
    pub const fn fold(&self) -> &Fold {
        &self.fold
    }

    /// Returns the newest verdicts, oldest first.
    #[must_use]
    pub const fn verdicts(&self) -> &VecDeque<Verdict> {
        &self.verdicts
    }

    /// Returns what a process lacks that knows the log up to `after`; `None` if it lacks nothing.
    #[must_use]
    pub fn page(&self, after: Position) -> Option<Page> {
        let missing = self.fold.position().checked_sub(after).filter(|m| *m > 0)?;
        let start = usize::try_from(missing)
            .ok()
            .and_then(|missing| self.window.len().checked_sub(missing));
        let chain = self.chain_at(after);
        match start {
            Some(start) if after > 0 => Some(Page {
                after,
                chain,
                records: self.records(start),
                snapshot: None,
            }),
            _ => Some(Page {
                after,
                chain,
                records: Vec::new(),
                snapshot: Some(self.snapshot(after)),
            }),
        }
    }

    fn records(&self, start: usize) -> Vec<SmolStr> {
        let mut bytes = 0;
        let within = |entry: &&Entry| {
            let first = bytes == 0;
            bytes += entry.text.len().max(1);
            first || bytes <= PAGE_BYTES
        };
        let entries = self.window.iter().skip(start).take(PAGE);
        let records = entries.take_while(within);
        records.map(|entry| entry.text.clone()).collect()
    }

    fn snapshot(&self, after: Position) -> Snapshot {
        let missing = usize::try_from(self.fold.position() - after).unwrap_or(usize::MAX);
        let known = match after {
            0 => Some(self.digests.len().saturating_sub(TAIL)),
            _ => self.digests.len().checked_sub(missing),
        };
        let proof = known.map(|skip| self.digests.iter().skip(skip).copied().collect());
        let document = self.fold.document();
        Snapshot {
            position: self.fold.position(),
            chain: self.fold.chain(),
            version: self.fold.version(),
            document: document.and_then(|d| serde_json::to_string(&**d).ok()),
            pieces: self.fold.pieces().cloned(),
            proof: proof.unwrap_or_default(),
            verdicts: self.verdicts.iter().cloned().collect(),
        }
    }

    /// Returns the hash of the records up to a place, if it is still known.
    fn chain_at(&self, place: Position) -> Option<Digest> {
        if place == 0 {
            return Some(Digest::default());
        }
        let back = usize::try_from(self.fold.position().checked_sub(place)?).ok()?;
        if back == 0 {
            return Some(self.fold.chain());
        }
        let index = self.window.len().checked_sub(back)?;
        self.window.get(index).map(|entry| entry.before)
    }

    /// Takes in records or a snapshot, from the platform or a peer; returns how many were new.
    ///
    /// # Errors
    ///
    /// Returns why nothing, or nothing more, is taken.
    pub fn apply(&mut self, page: &Page) -> Result<u64, Refusal> {
        let before = self.fold.position();
        match &page.snapshot {
            Some(snapshot) => self.take_snapshot(page, snapshot)?,
            None => self.take_records(page)?,
        }
        Ok(self.fold.position() - before)
    }

    fn take_records(&mut self, page: &Page) -> Result<(), Refusal> {
        let own = self.fold.position();
        let Some(known) = own.checked_sub(page.after) else {
            return Err(Refusal::Gap(own));
        };
        if let (Some(ours), Some(theirs)) = (self.chain_at(page.after), page.chain)
            && ours != theirs
        {
            return Err(Refusal::Fork(page.after));
        }
        let known = usize::try_from(known).unwrap_or(usize::MAX);
        for (place, text) in (page.after + 1..).zip(page.records.iter().take(known)) {
            self.compare(place, text)?;
        }
        for text in page.records.iter().skip(known) {
            self.take_one(text)?;
        }
        Ok(())
    }

    /// Compares a record that is offered again with the one that was taken.
    fn compare(&self, place: Position, text: &str) -> Result<(), Refusal> {
        let back = usize::try_from(self.fold.position() - place).unwrap_or(usize::MAX);
        let index = self.digests.len().checked_sub(back.saturating_add(1));
        match index.and_then(|index| self.digests.get(index)) {
            Some(own) if *own != Digest::of(&[text.as_bytes()]) => Err(Refusal::Fork(place)),
            _ => Ok(()),
        }
    }

    fn take_one(&mut self, text: &SmolStr) -> Result<(), Refusal> {
        let before = self.fold.chain();
        let outcome = self.fold.apply(text).map_err(Refusal::NewerSchema)?;
        let position = self.fold.position();
        push(&mut self.verdicts, Verdict { position, outcome }, VERDICTS);
        push(&mut self.digests, Digest::of(&[text.as_bytes()]), DIGESTS);
        self.bytes += text.len();
        let text = text.clone();
        self.window.push_back(Entry { before, text });
        while self.window.len() > WINDOW || self.bytes > WINDOW_BYTES {
            let Some(oldest) = self.window.pop_front() else {
                break;
            };
            self.bytes -= oldest.text.len();
        }
        Ok(())
    }

    fn take_snapshot(&mut self, page: &Page, snapshot: &Snapshot) -> Result<(), Refusal> {
        let own = self.fold.position();
        if snapshot.position <= own {
            return Ok(());
        }
        if own > 0 {
            self.verify(page, snapshot)?;
        }
        let document = match &snapshot.document {
            Some(text) => Some(serde_json::from_str(text).map_err(|_| Refusal::InvalidDocument)?),
            None => None,
        };
        if document.as_ref().is_some_and(|d| !check(d).is_empty()) {
            return Err(Refusal::InvalidDocument);
        }
        self.fold = Fold::restore(
            snapshot.position,
            snapshot.chain,
            snapshot.version,
            document.map(Arc::new),
            snapshot.pieces.clone(),
        );
        self.window.clear();
        self.bytes = 0;
        for digest in &snapshot.proof {
            push(&mut self.digests, *digest, DIGESTS);
        }
        self.verdicts = snapshot.verdicts.iter().cloned().collect();
        Ok(())
    }

    /// Checks that a snapshot extends the own log.
    fn verify(&self, page: &Page, snapshot: &Snapshot) -> Result<(), Refusal> {
        let own = self.fold.position();
        let missing = usize::try_from(snapshot.position - own).unwrap_or(usize::MAX);
        if page.after != own || snapshot.proof.len() != missing {
            return Err(Refusal::Gap(own));
        }
        let chain = snapshot
            .proof
            .iter()
            .fold(self.fold.chain(), |chain, record| link(chain, *record));
        if chain != snapshot.chain {
            return Err(Refusal::Fork(own));
        }
        Ok(())
    }
}

fn push<T>(queue: &mut VecDeque<T>, item: T, limit: usize) {
    queue.push_back(item);
    while queue.len() > limit {
        queue.pop_front();
    }
}
