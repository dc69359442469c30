use bytes::{Bytes, BytesMut};
use memchr::memmem;

/// Largest event that is waited for, in bytes; a longer one is not an event stream.
const LIMIT: usize = 256 * 1024;

/// Cuts a stream of events into whole events.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
}

/// Whole events that follow each other, and the id of the last one that has one.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Whole {
    /// The events as they came.
    pub bytes: Bytes,
    /// Id of the last event.
    pub last: Option<u64>,
    /// Number of events.
    pub count: u32,
}

impl Splitter {
    /// Takes in bytes as they come.
    pub fn push(&mut self, data: &[u8]) {
        self.buffer.extend_from_slice(data);
    }

    /// Returns whether the stream stands between two events.
    #[must_use]
    pub fn is_between(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Returns whether the unfinished event is longer than any can be.
    #[must_use]
    pub fn is_overlong(&self) -> bool {
        self.buffer.len() > LIMIT
    }

    /// Takes out all whole events; those with an id up to `after` are left out.
    pub fn take(&mut self, after: Option<u64>) -> Whole {
        let mut whole = Whole::default();
        let mut kept = BytesMut::new();
        while let Some(end) = end_of_event(&self.buffer) {
            let event = self.buffer.split_to(end);
            let id = id_of(&event);
            if id.is_some_and(|id| after.is_some_and(|after| id <= after)) {
                continue;
            }
            whole.last = id.or(whole.last);
            whole.count += 1;
            if kept.is_empty() {
                kept = event;
            } else {
                kept.unsplit(event);
            }
        }
        whole.bytes = kept.freeze();
        whole
    }
}

/// Returns the length of the first event with the empty line that ends it.
fn end_of_event(bytes: &[u8]) -> Option<usize> {
    let plain = memmem::find(bytes, b"\n\n").map(|at| at + 2);
    let carriage = memmem::find(bytes, b"\n\r\n").map(|at| at + 3);
    plain.into_iter().chain(carriage).min()
}

fn id_of(event: &[u8]) -> Option<u64> {
    let line = event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
