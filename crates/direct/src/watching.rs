use std::{
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use fleet::Duty;
use peer::Election;
use tokio::time::Instant;
use wire::{Member, Role, Watcher};

use crate::{Freshness, Settings, call::millis};

/// Share of the change time within which the store answers a watcher again, if other entries depend on its news.
const WATCH_SHARE: f64 = 0.75;

/// Part of this entry in the election of those that watch the store for their zone.
///
/// An entry without data asks the store in any case, and one whose news may be too old asks it once. Lock order:
/// `election` and `freshness` are never held together, nor across an await.
pub(crate) struct Watching {
    election: Mutex<Election>,
    freshness: Mutex<Freshness>,
    /// Time within which a change must be known.
    change_time: Duration,
    /// Number of known entries.
    entries: AtomicUsize,
    /// Number of those in the own zone.
    zone_entries: AtomicUsize,
    /// Number of times that the store has told this entry that it knows all changes.
    confirmations: AtomicUsize,
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
            freshness: Mutex::new(Freshness::new(
                settings.bounds.change,
                &mut rand::rng(),
                Instant::now(),
            )),
            change_time: settings.bounds.change,
            entries: AtomicUsize::new(1),
            zone_entries: AtomicUsize::new(1),
            confirmations: AtomicUsize::new(0),
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

    fn freshness(&self) -> MutexGuard<'_, Freshness> {
        // A poisoned lock is ignored: the times stay usable after a panic.
        self.freshness
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the number of known entries, and of those in the own zone.
    pub(crate) fn set_entry_counts(&self, entries: usize, zone_entries: usize) {
        self.entries.store(entries, Ordering::Relaxed);
        self.zone_entries.store(zone_entries, Ordering::Relaxed);
    }

    /// Returns whether entries of the zone learn of changes from others.
    pub(crate) fn has_dependents(&self) -> bool {
        self.zone_entries.load(Ordering::Relaxed) > peer::WATCHERS_PER_ZONE
    }

    /// Returns the number of times that the store has told this entry that it knows all changes.
    pub(crate) fn confirmations(&self) -> usize {
        self.confirmations.load(Ordering::Relaxed)
    }

    /// Records that another entry whose changes are all known here knew all changes at a time.
    pub(crate) fn record_reported_current(&self, at: Instant) {
        self.freshness().record_current(at);
    }

    /// Returns the time since which changes may be unknown, if any are known at all.
    pub(crate) fn news_age(&self) -> Option<Duration> {
        let is_informed = self.informed.load(Ordering::Relaxed);
        is_informed.then(|| self.freshness().age(Instant::now()))
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

    fn is_stale(&self) -> bool {
        let now = Instant::now();
        let (is_stale, age) = {
            let freshness = self.freshness();
            (freshness.is_stale(now), freshness.age(now))
        };
        if is_stale {
            log::info!(age_ms = millis(age); "news of the store may be too old; asking it once");
        }
        is_stale
    }

    fn max_interval(&self) -> Option<Duration> {
        self.has_dependents()
            .then(|| self.change_time.mul_f64(WATCH_SHARE))
    }

    fn record_current(&self, at: Instant) {
        self.freshness().record_current(at);
        self.confirmations.fetch_add(1, Ordering::Relaxed);
    }

    fn record_answer(&self) {
        self.informed.store(true, Ordering::Relaxed);
        self.election().record_success(Instant::now());
    }

    fn record_failure(&self, called_at: Instant) {
        self.election().record_failure(called_at);
        self.freshness().record_failure(Instant::now());
    }
}
