use std::{
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{SystemTime, UNIX_EPOCH},
};

use fleet::Duty;
use peer::Election;
use tokio::time::Instant;
use wire::{Member, Role, Watcher};

use crate::Settings;

/// Part of this entry in the election of those that watch the store for their zone.
///
/// An entry without data asks the store in any case. Lock order: `election` is the only lock and is
/// never held across an await.
pub(crate) struct Watching {
    election: Mutex<Election>,
    /// Number of known entries.
    entries: AtomicUsize,
    /// Whether the entry has received the items of the store once.
    informed: AtomicBool,
    was_on: AtomicBool,
}

impl Watching {
    pub(crate) fn new(settings: &Settings) -> Self {
        let started = SystemTime::now().duration_since(UNIX_EPOCH);
        let member = Member {
            process: settings.name.clone(),
            incarnation: started.map_or(0, |age| u64::try_from(age.as_nanos()).unwrap_or(u64::MAX)),
            role: Role::Entry,
            zone: settings.zone.clone(),
            address: settings.listen.gossip,
            leaving: false,
        };
        Self {
            election: Mutex::new(Election::new(&member, Instant::now())),
            entries: AtomicUsize::new(1),
            informed: AtomicBool::new(false),
            was_on: AtomicBool::new(false),
        }
    }

    fn election(&self) -> MutexGuard<'_, Election> {
        // A poisoned lock is ignored: the counts stay usable after a panic.
        self.election.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the watchers that another entry knows.
    pub(crate) fn observe(&self, watchers: &[Watcher]) {
        self.election().observe(watchers, Instant::now());
    }

    /// Lists the watchers of the zone that work, for other entries.
    pub(crate) fn watchers(&self) -> Vec<Watcher> {
        self.election().watchers(Instant::now())
    }

    /// Sets the number of known entries.
    pub(crate) fn set_entry_count(&self, entries: usize) {
        self.entries.store(entries, Ordering::Relaxed);
    }

    /// Records that the items of the store came from another entry.
    pub(crate) fn record_page(&self) {
        self.informed.store(true, Ordering::Relaxed);
    }

    /// Returns whether this entry asks the store itself, as last decided.
    pub(crate) fn is_watching(&self) -> bool {
        self.was_on.load(Ordering::Relaxed)
    }
}

impl Duty for Watching {
    fn is_on(&self) -> bool {
        let entries = self.entries.load(Ordering::Relaxed);
        let elected = self.election().tick(entries, Instant::now());
        let on = elected || !self.informed.load(Ordering::Relaxed);
        if self.was_on.swap(on, Ordering::Relaxed) != on {
            log::info!(watches = on, elected = elected, entries = entries; "watch of the store");
        }
        on
    }

    fn record_answer(&self) {
        self.informed.store(true, Ordering::Relaxed);
        self.election().record_success(Instant::now());
    }

    fn record_failure(&self, called_at: Instant) {
        self.election().record_failure(called_at);
    }
}
