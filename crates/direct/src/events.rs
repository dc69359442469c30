//! Server-sent events.

use std::cmp::Ordering;

use bytes::{Bytes, BytesMut};
use memchr::memmem;
use smol_str::SmolStr;

/// Id of an event, as its endpoint wrote it: a whole number of any size, or any other text.
pub type Id = SmolStr;

/// Largest incomplete event that is buffered, in bytes; a longer one means that the body is not an
/// event stream.
const MAX_EVENT_BYTES: usize = 256 * 1024;
/// Maximum number of pieces in which an incomplete event may be received; each piece takes time of its
/// own, whatever its size.
const MAX_EVENT_PIECES: usize = MAX_EVENT_BYTES / payload::FRAME_BYTES;
/// Longest id of an event that is used, in bytes; it is sent to endpoints in a header.
const MAX_ID_BYTES: usize = 1024;
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
    pub last_id: Option<Id>,
    /// Whether events with data follow the last one that has an id, so that a stream cannot be resumed after them.
    pub is_unnumbered: bool,
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

    /// Removes and returns all complete events, without those whose id is `after` or a smaller number.
    pub fn take_events(&mut self, after: Option<&Id>) -> Batch {
        let mut batch = Batch::default();
        let mut bytes = BytesMut::new();
        while let Some(end) = self.find_end() {
            let event = self.buffer.split_to(end);
            self.searched = 0;
            self.pieces = 0;
            let id = id_of(&event);
            if let (Some(id), Some(after)) = (&id, after)
                && compare(id, after).is_some_and(Ordering::is_le)
            {
                continue;
            }
            if id.is_some() {
                (batch.last_id, batch.is_unnumbered) = (id, false);
            } else {
                batch.is_unnumbered |= has_data(&event);
            }
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

/// Compares the ids of two events of one stream; returns `None` if they differ and are not both whole numbers.
#[must_use]
pub fn compare(left: &str, right: &str) -> Option<Ordering> {
    if left == right {
        return Some(Ordering::Equal);
    }
    let (left, right) = (significant_digits(left)?, significant_digits(right)?);
    Some(left.len().cmp(&right.len()).then_with(|| left.cmp(right)))
}

/// Returns whether an id is a whole number, so that it tells which events are later.
#[must_use]
pub fn is_number(id: &str) -> bool {
    !id.is_empty() && id.bytes().all(|byte| byte.is_ascii_digit())
}

/// Returns the digits of a whole number without leading zeros, or `None` if the text is something else.
fn significant_digits(text: &str) -> Option<&str> {
    is_number(text).then(|| text.trim_start_matches('0'))
}

/// Returns the id of an event, unless it has none that a header can carry.
fn id_of(event: &[u8]) -> Option<Id> {
    let line = event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))?;
    let id = std::str::from_utf8(line).ok()?.trim();
    let is_usable = !id.is_empty() && id.len() <= MAX_ID_BYTES && !id.contains(char::is_control);
    is_usable.then(|| Id::new(id))
}

/// Returns whether an event has data, so that its receiver takes notice of it.
fn has_data(event: &[u8]) -> bool {
    let mut lines = event.split(|byte| *byte == b'\n');
    lines.any(|line| line.starts_with(b"data"))
}
