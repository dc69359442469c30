use std::{
    collections::VecDeque,
    sync::{Arc, Mutex},
};

use smol_str::SmolStr;
use uhlc::{HLC, ID, NTP64, Timestamp};

use crate::{Event, Kind, Stamp};
use conf::id;

/// Events that a process keeps.
const CAPACITY: usize = 4096;

/// Keeps a bounded ring of the newest events of a process.
#[derive(Clone)]
pub struct Recorder {
    inner: Arc<Inner>,
}

struct Inner {
    process: id::Process,
    clock: HLC,
    ring: Mutex<Ring>,
}

#[derive(Default)]
struct Ring {
    next: u64,
    events: VecDeque<Event>,
}

impl Recorder {
    /// Creates an empty ring for a process.
    #[must_use]
    pub fn new(process: id::Process) -> Self {
        let inner = Inner {
            process,
            clock: HLC::default(),
            ring: Mutex::default(),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Records an event now.
    pub fn record(&self, request: Option<&SmolStr>, kind: Kind) {
        let stamp = self.stamp();
        let Ok(mut ring) = self.inner.ring.lock() else {
            return;
        };
        let sequence = ring.next;
        ring.next += 1;
        if ring.events.len() == CAPACITY {
            ring.events.pop_front();
        }
        let process = self.inner.process.clone();
        ring.events.push_back(Event {
            process,
            sequence,
            stamp,
            request: request.cloned(),
            kind,
        });
    }

    /// Returns the events from position `from` on that are still kept.
    #[must_use]
    pub fn read(&self, from: u64) -> Vec<Event> {
        let Ok(ring) = self.inner.ring.lock() else {
            return Vec::new();
        };
        ring.events
            .iter()
            .filter(|e| e.sequence >= from)
            .cloned()
            .collect()
    }

    /// Reads the clock, for a message that leaves.
    #[must_use]
    pub fn stamp(&self) -> Stamp {
        self.inner.clock.new_timestamp().get_time().as_u64()
    }

    /// Moves the clock past the stamp of a message that came in.
    ///
    /// A stamp too far ahead of the machine's clock is ignored.
    pub fn observe(&self, stamp: Stamp) {
        let other = Timestamp::new(NTP64(stamp), ID::rand());
        let _ = self.inner.clock.update_with_timestamp(&other);
    }
}
