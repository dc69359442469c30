use std::collections::VecDeque;

use bytes::Bytes;
use fault::{ErrorKind, Fault};
use wire::{Head, Seal};

/// Bytes that are kept after they were pulled, more than a link can hold unread.
const KEEP: u64 = 2 * 1024 * 1024;
/// Bytes by which the answer may be ahead of its reader.
const AHEAD: u64 = 64 * 1024;

/// Bounded buffer of a running answer, from which a reader can go on after its link broke.
#[derive(Debug, Default)]
pub struct Buffer {
    head: Option<Head>,
    pieces: VecDeque<Bytes>,
    base: u64,
    length: u64,
    pulled: u64,
    end: Option<Result<Seal, Fault>>,
    reader: u32,
}

/// Position of one reader.
#[derive(Clone, Copy, Debug)]
pub struct Cursor {
    reader: u32,
    head: bool,
    offset: u64,
}

impl Cursor {
    /// Returns the number of the reader.
    #[must_use]
    pub const fn reader(&self) -> u32 {
        self.reader
    }
}

/// What a reader gets next.
#[derive(Clone, Debug, PartialEq)]
pub enum Item {
    /// The head of the answer.
    Head(Head),
    /// A piece of the body and its offset in bytes.
    Data(u64, Bytes),
    /// The answer is complete.
    End(Seal),
    /// The run ended without a whole answer, or what the reader lacks is no longer kept.
    Failed(Fault),
    /// Nothing yet.
    Pending,
    /// Another reader took this one's place.
    Replaced,
}

impl Buffer {
    /// Takes in the head of the answer.
    pub fn set_head(&mut self, head: Head) {
        self.head = Some(head);
    }

    /// Takes in the next bytes of the body.
    pub fn push(&mut self, data: Bytes) {
        self.length += data.len() as u64;
        self.pieces.push_back(data);
    }

    /// Takes in how the answer ended; only the first end counts.
    pub fn finish(&mut self, end: Result<Seal, Fault>) {
        self.end.get_or_insert(end);
    }

    /// Returns whether the reader keeps up.
    #[must_use]
    pub const fn has_room(&self) -> bool {
        self.length - self.pulled < AHEAD
    }

    /// Returns the number of the reader that was attached last.
    #[must_use]
    pub const fn reader(&self) -> u32 {
        self.reader
    }

    /// Attaches a reader that has the body up to `offset`; it takes the place of the one before.
    pub fn attach(&mut self, offset: u64) -> Cursor {
        self.reader += 1;
        Cursor {
            reader: self.reader,
            head: false,
            offset,
        }
    }

    /// Gives a reader what comes next.
    pub fn pull(&mut self, cursor: &mut Cursor) -> Item {
        if cursor.reader != self.reader {
            return Item::Replaced;
        }
        if !cursor.head {
            return self.pull_head(cursor);
        }
        if cursor.offset < self.base || cursor.offset > self.length {
            return Item::Failed(ErrorKind::Interrupted.into());
        }
        if cursor.offset < self.length {
            return self.pull_data(cursor);
        }
        self.pull_end()
    }

    fn pull_head(&self, cursor: &mut Cursor) -> Item {
        let Some(head) = &self.head else {
            return self.pull_end();
        };
        cursor.head = true;
        Item::Head(head.clone())
    }

    fn pull_end(&self) -> Item {
        match &self.end {
            Some(Ok(seal)) => Item::End(*seal),
            Some(Err(fault)) => Item::Failed(fault.clone()),
            None => Item::Pending,
        }
    }

    fn pull_data(&mut self, cursor: &mut Cursor) -> Item {
        let at = cursor.offset;
        let mut start = self.base;
        let mut found = Bytes::new();
        for piece in &self.pieces {
            let end = start + piece.len() as u64;
            if at < end {
                found = piece.slice(usize::try_from(at - start).unwrap_or(0)..);
                break;
            }
            start = end;
        }
        cursor.offset += found.len() as u64;
        self.pulled = self.pulled.max(cursor.offset);
        self.trim();
        Item::Data(at, found)
    }

    fn trim(&mut self) {
        while let Some(piece) = self.pieces.front() {
            let end = self.base + piece.len() as u64;
            if end + KEEP > self.pulled {
                return;
            }
            self.base = end;
            self.pieces.pop_front();
        }
    }
}
