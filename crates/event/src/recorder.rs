use std::{
    collections::VecDeque,
    sync::{Arc, Mutex},
    time::Duration,
};

use smol_str::SmolStr;
use uhlc::{HLC, HLCBuilder, NTP64, Timestamp, system_time_clock};

use crate::{Event, Kind, Stamp};
use conf::id;

/// Events that a process keeps.
pub const MAX_EVENTS: usize = 4096;
/// Most that another VM's clock may be ahead and still be followed.
pub const MAX_SKEW: Duration = Duration::from_secs(60);

/// Keeps a bounded ring of the newest events of a process.
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
    next: u64,
    events: VecDeque<Event>,
}

impl Recorder {
    /// Creates an empty ring for a process.
    #[must_use]
    pub fn new(process: id::Process) -> Self {
        Self::with_clock(process, system_time_clock)
    }

    /// Creates an empty ring over a clock of the caller's choice, for tests.
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

    /// Records an event now.
    pub fn record(&self, request: Option<&SmolStr>, kind: Kind) {
        let Ok(mut ring) = self.inner.ring.lock() else {
            return;
        };
        // Under the lock, so that stamps rise with the sequence.
        let stamp = self.stamp();
        let sequence = ring.next;
        ring.next += 1;
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
    /// A stamp that is further ahead of the machine's clock than [`MAX_SKEW`] is ignored.
    pub fn observe(&self, stamp: Stamp) {
        let other = Timestamp::new(NTP64(stamp), *self.inner.clock.get_id());
        let _ = self.inner.clock.update_with_timestamp(&other);
    }
}
