use std::{collections::VecDeque, fmt, sync::Arc};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{
    Digest, Fold, NewerSchema, Position, Verdict, Version, check,
    fold::{Pieces, extend_chain},
};

/// Maximum number of records kept for peers.
const MAX_RECORDS: usize = 1024;
/// Maximum total size of the records kept for peers, in bytes.
const MAX_RECORD_BYTES: usize = 2 * 1024 * 1024;
/// Maximum number of digests kept, which prove to a peer that a snapshot extends its log; more than
/// the changes of a day.
const MAX_DIGESTS: usize = 32 * 1024;
/// Maximum number of verdicts kept for operators.
const MAX_VERDICTS: usize = 512;
/// Maximum number of records in a page.
const MAX_PAGE_RECORDS: usize = 256;
/// Number of digests in a snapshot for a process with an empty log, which detects a fork with them.
const INITIAL_PROOF_DIGESTS: usize = 64;
/// Maximum total size of the records in a page, in bytes; a page holds at least one record.
const MAX_PAGE_BYTES: usize = 1024 * 1024;

/// State that a process keeps of the published log: the configuration in force, and the newest
/// records, digests and verdicts for its peers and operators.
#[derive(Clone, Debug, Default)]
pub struct History {
    fold: Fold,
    /// Newest records, oldest first.
    records: VecDeque<StoredRecord>,
    /// Total size of `records` in bytes.
    record_bytes: usize,
    /// Digests of the newest records, oldest first.
    digests: VecDeque<Digest>,
    verdicts: VecDeque<Verdict>,
}

#[derive(Clone, Debug)]
struct StoredRecord {
    /// Hash chain of the log before this record.
    chain_before: Digest,
    /// Text of the record as published.
    text: SmolStr,
}

/// Records or a snapshot that one process sends to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Page {
    /// Position of the record that precedes this page.
    pub after: Position,
    /// Hash chain up to that position, or `None` if the sender does not know it.
    pub chain: Option<Digest>,
    /// Texts of the records as published, oldest first.
    pub records: Vec<SmolStr>,
    /// Result of the records, sent instead of them to a process that lacks many.
    pub snapshot: Option<Snapshot>,
}

/// Result of applying the log up to a position.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Snapshot {
    /// Position of the last applied record.
    position: Position,
    /// Hash chain up to that position.
    chain: Digest,
    /// Version in force at that position.
    version: Version,
    /// Document in force as JSON.
    document: Option<String>,
    /// Pieces of an incomplete record at the end.
    pieces: Option<Pieces>,
    /// Digests of the records after [`Page::after`], which extend that hash chain to this one.
    proof: Vec<Digest>,
    /// Newest verdicts, oldest first.
    verdicts: Vec<Verdict>,
}

/// Reason why a page was not applied, or not beyond some record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The sender's log differs from the local one at or before this position.
    Fork(Position),
    /// The page does not continue the local log, which ends at this position, so it cannot be verified.
    Gap(Position),
    /// Only a newer build supports the schema of the next record.
    NewerSchema(NewerSchema),
    /// The document of a snapshot is invalid.
    InvalidDocument,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Fork(position) => write!(
                f,
                "received part of a different log, which differs from the local log at or before record {position}; the local log is kept"
            ),
            Self::Gap(position) => write!(
                f,
                "received records cannot be verified against the local log, which ends at record {position}"
            ),
            Self::NewerSchema(error) => error.fmt(f),
            Self::InvalidDocument => f.write_str("received a snapshot with an invalid document"),
        }
    }
}

impl History {
    /// Returns the configuration in force, with its position in the log.
    #[must_use]
    pub const fn fold(&self) -> &Fold {
        &self.fold
    }

    /// Returns the newest verdicts, oldest first.
    #[must_use]
    pub const fn verdicts(&self) -> &VecDeque<Verdict> {
        &self.verdicts
    }

    /// Returns the next page for a process whose log ends at `after`, or `None` if that is the end.
    #[must_use]
    pub fn page(&self, after: Position) -> Option<Page> {
        let missing = self.fold.position().checked_sub(after).filter(|m| *m > 0)?;
        let start = usize::try_from(missing)
            .ok()
            .and_then(|missing| self.records.len().checked_sub(missing));
        let chain = self.chain_at(after);
        match start {
            Some(start) if after > 0 => Some(Page {
                after,
                chain,
                records: self.page_records(start),
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

    fn page_records(&self, start: usize) -> Vec<SmolStr> {
        let mut bytes = 0;
        let fits = |record: &&StoredRecord| {
            let first = bytes == 0;
            bytes += record.text.len().max(1);
            first || bytes <= MAX_PAGE_BYTES
        };
        let candidates = self.records.iter().skip(start).take(MAX_PAGE_RECORDS);
        let records = candidates.take_while(fits);
        records.map(|record| record.text.clone()).collect()
    }

    fn snapshot(&self, after: Position) -> Snapshot {
        let missing = usize::try_from(self.fold.position() - after).unwrap_or(usize::MAX);
        let skipped = match after {
            0 => Some(self.digests.len().saturating_sub(INITIAL_PROOF_DIGESTS)),
            _ => self.digests.len().checked_sub(missing),
        };
        let proof = skipped.map(|skip| self.digests.iter().skip(skip).copied().collect());
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

    /// Returns the hash chain up to a position, if it is still known.
    fn chain_at(&self, position: Position) -> Option<Digest> {
        if position == 0 {
            return Some(Digest::default());
        }
        let back = usize::try_from(self.fold.position().checked_sub(position)?).ok()?;
        if back == 0 {
            return Some(self.fold.chain());
        }
        let index = self.records.len().checked_sub(back)?;
        self.records.get(index).map(|record| record.chain_before)
    }

    /// Applies a page from the platform or a peer and returns the number of new records.
    ///
    /// # Errors
    ///
    /// Returns an error if the page cannot be verified, is part of a different log, or needs a newer
    /// build; records before the failing one stay applied.
    pub fn apply(&mut self, page: &Page) -> Result<u64, Refusal> {
        let before = self.fold.position();
        match &page.snapshot {
            Some(snapshot) => self.apply_snapshot(page, snapshot)?,
            None => self.apply_records(page)?,
        }
        Ok(self.fold.position() - before)
    }

    fn apply_records(&mut self, page: &Page) -> Result<(), Refusal> {
        let end = self.fold.position();
        let Some(known) = end.checked_sub(page.after) else {
            return Err(Refusal::Gap(end));
        };
        if let (Some(local), Some(received)) = (self.chain_at(page.after), page.chain)
            && local != received
        {
            return Err(Refusal::Fork(page.after));
        }
        let known = usize::try_from(known).unwrap_or(usize::MAX);
        for (position, text) in (page.after + 1..).zip(page.records.iter().take(known)) {
            self.verify_record(position, text)?;
        }
        for text in page.records.iter().skip(known) {
            self.apply_record(text)?;
        }
        Ok(())
    }

    /// Checks that a record received again is the one that was applied.
    fn verify_record(&self, position: Position, text: &str) -> Result<(), Refusal> {
        let back = usize::try_from(self.fold.position() - position).unwrap_or(usize::MAX);
        let index = self.digests.len().checked_sub(back.saturating_add(1));
        match index.and_then(|index| self.digests.get(index)) {
            Some(digest) if *digest != Digest::of(&[text.as_bytes()]) => {
                Err(Refusal::Fork(position))
            }
            _ => Ok(()),
        }
    }

    fn apply_record(&mut self, text: &SmolStr) -> Result<(), Refusal> {
        let chain_before = self.fold.chain();
        let outcome = self.fold.apply(text).map_err(Refusal::NewerSchema)?;
        let position = self.fold.position();
        push_bounded(
            &mut self.verdicts,
            Verdict { position, outcome },
            MAX_VERDICTS,
        );
        push_bounded(
            &mut self.digests,
            Digest::of(&[text.as_bytes()]),
            MAX_DIGESTS,
        );
        self.record_bytes += text.len();
        let text = text.clone();
        self.records.push_back(StoredRecord { chain_before, text });
        while self.records.len() > MAX_RECORDS || self.record_bytes > MAX_RECORD_BYTES {
            let Some(oldest) = self.records.pop_front() else {
                break;
            };
            self.record_bytes -= oldest.text.len();
        }
        Ok(())
    }

    fn apply_snapshot(&mut self, page: &Page, snapshot: &Snapshot) -> Result<(), Refusal> {
        let end = self.fold.position();
        if snapshot.position <= end {
            return Ok(());
        }
        if end > 0 {
            self.verify_snapshot(page, snapshot)?;
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
        self.records.clear();
        self.record_bytes = 0;
        for digest in &snapshot.proof {
            push_bounded(&mut self.digests, *digest, MAX_DIGESTS);
        }
        self.verdicts = snapshot.verdicts.iter().cloned().collect();
        Ok(())
    }

    /// Checks that a snapshot extends the local log.
    fn verify_snapshot(&self, page: &Page, snapshot: &Snapshot) -> Result<(), Refusal> {
        let end = self.fold.position();
        let missing = usize::try_from(snapshot.position - end).unwrap_or(usize::MAX);
        if page.after != end || snapshot.proof.len() != missing {
            return Err(Refusal::Gap(end));
        }
        let chain = snapshot
            .proof
            .iter()
            .fold(self.fold.chain(), |chain, record| {
                extend_chain(chain, *record)
            });
        if chain != snapshot.chain {
            return Err(Refusal::Fork(end));
        }
        Ok(())
    }
}

fn push_bounded<T>(queue: &mut VecDeque<T>, item: T, limit: usize) {
    queue.push_back(item);
    while queue.len() > limit {
        queue.pop_front();
    }
}
