use std::collections::VecDeque;

use bytes::Bytes;
use fault::{ErrorKind, Fault};
use wire::{Checksum, Head};

/// Bytes that stay available after they were read; more than a link can hold undelivered, so that a
/// reader can resume after its link broke.
const REPLAY_BYTES: u64 = 2 * 1024 * 1024;
/// Unread bytes from which the buffer accepts no more.
const MAX_UNREAD_BYTES: u64 = 64 * 1024;

/// Bounded buffer of a running answer, which lets a reader resume after its link broke.
#[derive(Debug, Default)]
pub struct Buffer {
    head: Option<Head>,
    chunks: VecDeque<Bytes>,
    /// Offset in the body of the first byte that is still stored.
    start: u64,
    /// Number of body bytes written so far.
    length: u64,
    /// Highest offset that any reader has reached.
    read: u64,
    end: Option<Result<Checksum, Fault>>,
    reader: u32,
}

/// Position of one reader.
#[derive(Clone, Copy, Debug)]
pub struct Cursor {
    reader: u32,
    head_read: bool,
    offset: u64,
}

impl Cursor {
    /// Returns the number of the reader, counted from 1 in the order of attachment.
    #[must_use]
    pub const fn reader(&self) -> u32 {
        self.reader
    }
}

/// Result of one read.
#[derive(Clone, Debug, PartialEq)]
pub enum Item {
    /// Status and headers of the answer.
    Head(Head),
    /// Offset in the body, in bytes, and the bytes from there on.
    Data(u64, Bytes),
    /// The answer is complete.
    End(Checksum),
    /// The run ended without a complete answer, or the bytes at the reader's position are no longer
    /// stored.
    Failed(Fault),
    /// There is nothing to read yet.
    Pending,
    /// A later reader has replaced this one.
    Replaced,
}

impl Buffer {
    /// Stores the head of the answer.
    pub fn set_head(&mut self, head: Head) {
        self.head = Some(head);
    }

    /// Appends bytes to the body.
    pub fn push(&mut self, data: Bytes) {
        self.length += data.len() as u64;
        self.chunks.push_back(data);
    }

    /// Stores how the answer ended; only the first call has an effect.
    pub fn finish(&mut self, end: Result<Checksum, Fault>) {
        self.end.get_or_insert(end);
    }

    /// Returns whether the buffer accepts more bytes; the writer waits while it does not.
    #[must_use]
    pub const fn has_room(&self) -> bool {
        self.length - self.read < MAX_UNREAD_BYTES
    }

    /// Returns the number of the reader that was attached last.
    #[must_use]
    pub const fn reader(&self) -> u32 {
        self.reader
    }

    /// Attaches a reader that already has the body up to `offset`, and replaces the previous
    /// reader.
    pub fn attach(&mut self, offset: u64) -> Cursor {
        self.reader += 1;
        Cursor {
            reader: self.reader,
            head_read: false,
            offset,
        }
    }

    /// Returns the next item for a reader and advances its cursor.
    pub fn pull(&mut self, cursor: &mut Cursor) -> Item {
        if cursor.reader != self.reader {
            return Item::Replaced;
        }
        if !cursor.head_read {
            return self.pull_head(cursor);
        }
        if cursor.offset < self.start || cursor.offset > self.length {
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
        cursor.head_read = true;
        Item::Head(head.clone())
    }

    fn pull_end(&self) -> Item {
        match &self.end {
            Some(Ok(checksum)) => Item::End(*checksum),
            Some(Err(fault)) => Item::Failed(fault.clone()),
            None => Item::Pending,
        }
    }

    fn pull_data(&mut self, cursor: &mut Cursor) -> Item {
        let offset = cursor.offset;
        let mut start = self.start;
        let mut data = Bytes::new();
        for chunk in &self.chunks {
            let end = start + chunk.len() as u64;
            if offset < end {
                data = chunk.slice(usize::try_from(offset - start).unwrap_or(0)..);
                break;
            }
            start = end;
        }
        cursor.offset += data.len() as u64;
        self.read = self.read.max(cursor.offset);
        self.trim();
        Item::Data(offset, data)
    }

    fn trim(&mut self) {
        while let Some(chunk) = self.chunks.front() {
            let end = self.start + chunk.len() as u64;
            if end + REPLAY_BYTES > self.read {
                return;
            }
            self.start = end;
            self.chunks.pop_front();
        }
    }
}
