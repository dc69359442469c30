//! Server-sent events.

use bytes::{Bytes, BytesMut};
use memchr::memmem;

/// Largest incomplete event that is buffered, in bytes; a longer one means that the body is not an
/// event stream.
const MAX_EVENT_BYTES: usize = 256 * 1024;
/// Maximum number of pieces in which an incomplete event may be received; each piece takes time of its
/// own, whatever its size.
const MAX_EVENT_PIECES: usize = MAX_EVENT_BYTES / payload::FRAME_BYTES;
/// Length of the longest end of an event, in bytes.
const MAX_END_BYTES: usize = b"\n\r\n".len();

/// Splits an event stream into complete events.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Length of the start of `buffer` that was searched without finding the end of an event, in bytes.
    searched: usize,
    /// Number of pieces that were received since the last complete event.
    pieces: usize,
}

/// Complete events that follow each other.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Batch {
    /// Unchanged bytes of the events.
    pub bytes: Bytes,
    /// Id of the last event that has one.
    pub last_id: Option<u64>,
    /// Number of events.
    pub count: u32,
}

impl Splitter {
    /// Appends received bytes, which may end anywhere within an event.
    pub fn push(&mut self, data: &[u8]) {
        self.buffer.extend_from_slice(data);
        self.pieces += 1;
    }

    /// Returns whether no incomplete event is buffered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Returns whether the incomplete event exceeds its limits, 256 KiB or 4,096 pieces.
    #[must_use]
    pub fn is_over_limit(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES || self.pieces > MAX_EVENT_PIECES
    }

    /// Removes and returns all complete events, without those whose id is at most `after`.
    pub fn take_events(&mut self, after: Option<u64>) -> Batch {
        let mut batch = Batch::default();
        let mut bytes = BytesMut::new();
        while let Some(end) = self.find_end() {
            let event = self.buffer.split_to(end);
            self.searched = 0;
            self.pieces = 0;
            let id = id_of(&event);
            if id.is_some_and(|id| after.is_some_and(|after| id <= after)) {
                continue;
            }
            batch.last_id = id.or(batch.last_id);
            batch.count += 1;
            if bytes.is_empty() {
                bytes = event;
            } else {
                bytes.unsplit(event);
            }
        }
        self.searched = self.buffer.len();
        batch.bytes = bytes.freeze();
        batch
    }

    /// Returns the length of the first event, including the empty line that ends it.
    fn find_end(&self) -> Option<usize> {
        // The end may begin in the part that was searched before.
        let start = self.searched.saturating_sub(MAX_END_BYTES - 1);
        let bytes = &self.buffer[start..];
        let lf = memmem::find(bytes, b"\n\n").map(|at| at + 2);
        let crlf = memmem::find(bytes, b"\n\r\n").map(|at| at + 3);
        lf.into_iter().chain(crlf).min().map(|end| start + end)
    }
}

/// Returns the id of an event if it is a number.
fn id_of(event: &[u8]) -> Option<u64> {
    let line = event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
