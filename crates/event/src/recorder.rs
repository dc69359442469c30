use std::{
    collections::VecDeque,
    sync::{Arc, Mutex},
    time::Duration,
};

use smol_str::SmolStr;
use uhlc::{HLC, HLCBuilder, NTP64, Timestamp, system_time_clock};

use crate::{Event, Kind, Stamp};
use conf::id;

/// Maximum number of events in the ring buffer of a process.
pub const MAX_EVENTS: usize = 4096;
/// Maximum lead of a received stamp over the local clock; stamps further ahead are ignored.
pub const MAX_SKEW: Duration = Duration::from_secs(60);

/// Ring buffer of the newest events of a process.
///
/// Lock order: `ring` before the clock's own lock; neither is held across an await.
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
    next_sequence: u64,
    events: VecDeque<Event>,
}

impl Recorder {
    /// Creates a recorder whose first event is [`Kind::Start`].
    #[must_use]
    pub fn new(process: id::Process) -> Self {
        Self::with_clock(process, system_time_clock)
    }

    /// Creates a recorder with the given physical clock, for tests.
    #[must_use]
    pub fn with_clock(process: id::Process, clock: fn() -> NTP64) -> Self {
        let clock = HLCBuilder::new()
            .with_clock(clock)
            .with_max_delta(MAX_SKEW)
            .build();
        let inner = Inner {
            process,
            clock,
            ring: Mutex::default(),
        };
        let recorder = Self {
            inner: Arc::new(inner),
        };
        recorder.record(None, Kind::Start);
        recorder
    }

    /// Appends an event with the current stamp; the oldest event is dropped if the buffer is full.
    pub fn record(&self, request: Option<&SmolStr>, kind: Kind) {
        let Ok(mut ring) = self.inner.ring.lock() else {
            return;
        };
        // Stamps are taken under the lock, so that they rise with the sequence number.
        let stamp = self.stamp();
        let sequence = ring.next_sequence;
        ring.next_sequence += 1;
        if ring.events.len() == MAX_EVENTS {
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

    /// Returns the events in the buffer whose sequence number is at least `from`.
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

    /// Returns a new stamp, for an outgoing message.
    #[must_use]
    pub fn stamp(&self) -> Stamp {
        self.inner.clock.new_timestamp().get_time().as_u64()
    }

    /// Advances the clock past the stamp of an incoming message.
    ///
    /// A stamp that is further ahead of the VM's clock than [`MAX_SKEW`] is ignored.
    pub fn observe(&self, stamp: Stamp) {
        let received = Timestamp::new(NTP64(stamp), *self.inner.clock.get_id());
        let _ = self.inner.clock.update_with_timestamp(&received);
    }
}
