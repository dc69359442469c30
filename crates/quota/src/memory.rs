use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use tokio::sync::{Notify, futures::Notified};
use tokio_util::sync::CancellationToken;

use crate::{Denial, Lease, throttle::Throttle};

/// Size of a message, in bytes, above which it belongs to the large ones.
const MAX_SMALL_BYTES: usize = 64 * 1024;
/// Share of the memory that only messages of up to [`MAX_SMALL_BYTES`] can take: one part of this many.
const SMALL_PARTS: usize = 4;

/// Index of the section of small messages.
const SMALL: usize = 0;
/// Index of the section of large messages.
const LARGE: usize = 1;

/// Memory for messages, which all connections of a process share.
///
/// Small and large messages have a section each, so that neither waits for the other. Lock order: `state` is the only lock
/// and is never held across an await.
#[derive(Clone)]
pub struct Memory {
    shared: Arc<Shared>,
}

struct Shared {
    state: Mutex<State>,
    /// Notified when memory is released.
    released: Notify,
}

struct State {
    sections: [Section; 2],
    holders: HashMap<u64, Holder>,
    next_holder: u64,
    next_progress: u64,
    revoked: u64,
    log: Throttle,
}

/// Part of the memory.
struct Section {
    limit: usize,
    used: usize,
    /// Bytes whose holders were told to release them.
    revoked: usize,
    /// Bytes of the holders in `by_progress`.
    revocable: usize,
    /// Holders that can be revoked, by their last progress.
    by_progress: BTreeMap<u64, u64>,
}

struct Holder {
    section: usize,
    bytes: usize,
    /// Key in [`Section::by_progress`]; `None` if the lease is protected or was revoked.
    progress: Option<u64>,
    is_protected: bool,
    is_revoked: bool,
    revocation: CancellationToken,
}

impl Memory {
    /// Creates an account of `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        let small = limit / SMALL_PARTS;
        let state = State {
            sections: [Section::new(small), Section::new(limit - small)],
            holders: HashMap::new(),
            next_holder: 0,
            next_progress: 0,
            revoked: 0,
            log: Throttle::default(),
        };
        Self {
            shared: Arc::new(Shared {
                state: Mutex::new(state),
                released: Notify::new(),
            }),
        }
    }

    /// Creates a lease of no bytes, which can be revoked.
    #[must_use]
    pub fn lease(&self) -> Lease {
        let revocation = CancellationToken::new();
        let mut state = self.lock();
        let id = state.next_holder;
        state.next_holder += 1;
        let holder = Holder {
            section: SMALL,
            bytes: 0,
            progress: None,
            is_protected: false,
            is_revoked: false,
            revocation: revocation.clone(),
        };
        state.holders.insert(id, holder);
        state.record_progress(id);
        drop(state);
        Lease::new(self.clone(), id, revocation)
    }

    /// Creates a lease of no bytes, which cannot be revoked.
    #[must_use]
    pub fn protected_lease(&self) -> Lease {
        let lease = self.lease();
        // A lease that holds nothing is not revoked.
        if lease.protect().is_err() {
            log::warn!("memory of a new message was revoked");
        }
        lease
    }

    /// Returns the number of bytes that are leased.
    #[must_use]
    pub fn used(&self) -> usize {
        self.lock()
            .sections
            .iter()
            .map(|section| section.used)
            .sum()
    }

    /// Returns how many leases were revoked so far.
    #[must_use]
    pub fn revoked(&self) -> u64 {
        self.lock().revoked
    }

    /// Takes memory for a holder; returns false if it must wait for holders that were revoked.
    pub(crate) fn try_grow(&self, id: u64, bytes: usize) -> Result<bool, Denial> {
        self.lock().try_grow(id, bytes)
    }

    /// Returns a future that is ready once memory was released.
    pub(crate) fn released(&self) -> Notified<'_> {
        self.shared.released.notified()
    }

    pub(crate) fn record_progress(&self, id: u64) {
        self.lock().record_progress(id);
    }

    /// Protects a holder from revocation; fails if it is revoked already.
    pub(crate) fn protect(&self, id: u64) -> Result<(), Denial> {
        let mut state = self.lock();
        state.remove_progress(id);
        match state.holders.get_mut(&id) {
            Some(holder) if !holder.is_revoked => {
                holder.is_protected = true;
                Ok(())
            }
            _ => Err(Denial::Revoked),
        }
    }

    /// Makes a holder revocable by cancelling `revocation`.
    pub(crate) fn expose(&self, id: u64, revocation: CancellationToken) {
        let mut state = self.lock();
        if let Some(holder) = state.holders.get_mut(&id) {
            holder.revocation = revocation;
            holder.is_protected = false;
        }
        state.record_progress(id);
    }

    pub(crate) fn release(&self, id: u64) {
        self.lock().release(id);
        self.shared.released.notify_waiters();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // A poisoned lock is ignored: the counts stay usable after a panic.
        self.shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Section {
    const fn new(limit: usize) -> Self {
        Self {
            limit,
            used: 0,
            revoked: 0,
            revocable: 0,
            by_progress: BTreeMap::new(),
        }
    }
}

impl State {
    /// Takes memory for a holder; returns false if it must wait for holders that were revoked.
    fn try_grow(&mut self, id: u64, bytes: usize) -> Result<bool, Denial> {
        let Some(holder) = self.holders.get(&id).filter(|holder| !holder.is_revoked) else {
            return Err(Denial::Revoked);
        };
        let (from, held, is_protected) = (holder.section, holder.bytes, holder.is_protected);
        let total = held + bytes;
        let to = if total > MAX_SMALL_BYTES {
            LARGE
        } else {
            SMALL
        };
        let needed = if from == to { bytes } else { total };
        self.record_progress(id);
        let section = &self.sections[to];
        if section.used + needed <= section.limit {
            self.sections[from].used -= held;
            self.sections[to].used += total;
            self.move_to(id, to, total);
            return Ok(true);
        }
        let own = if from == to && !is_protected { held } else { 0 };
        let released = section.revoked + section.revocable - own;
        if section.used + needed > section.limit + released {
            return Err(Denial::Exhausted);
        }
        while self.sections[to].used + needed > self.sections[to].limit + self.sections[to].revoked
        {
            self.revoke_slowest(to, id);
        }
        Ok(false)
    }

    fn move_to(&mut self, id: u64, section: usize, bytes: usize) {
        self.remove_progress(id);
        if let Some(holder) = self.holders.get_mut(&id) {
            (holder.section, holder.bytes) = (section, bytes);
        }
        self.record_progress(id);
    }

    /// Revokes the lease in a section, other than that of `requester`, which has made no progress for longest.
    fn revoke_slowest(&mut self, section: usize, requester: u64) {
        let by_progress = &self.sections[section].by_progress;
        let Some(id) = by_progress.values().copied().find(|id| *id != requester) else {
            return;
        };
        self.remove_progress(id);
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.is_revoked = true;
            holder.revocation.cancel();
            self.sections[section].revoked += holder.bytes;
        }
        self.revoked += 1;
        if self.log.allows() {
            let used: usize = self.sections.iter().map(|section| section.used).sum();
            log::warn!(used, messages = self.holders.len(), cut = self.revoked; "memory for messages is used up; those without progress for longest are cut");
        }
    }

    fn record_progress(&mut self, id: u64) {
        self.remove_progress(id);
        let is_revocable = |holder: &&mut Holder| !holder.is_revoked && !holder.is_protected;
        let Some(holder) = self.holders.get_mut(&id).filter(is_revocable) else {
            return;
        };
        holder.progress = Some(self.next_progress);
        let section = &mut self.sections[holder.section];
        section.revocable += holder.bytes;
        section.by_progress.insert(self.next_progress, id);
        self.next_progress += 1;
    }

    fn remove_progress(&mut self, id: u64) {
        let Some(holder) = self.holders.get_mut(&id) else {
            return;
        };
        if let Some(progress) = holder.progress.take() {
            let section = &mut self.sections[holder.section];
            section.revocable -= holder.bytes;
            section.by_progress.remove(&progress);
        }
    }

    fn release(&mut self, id: u64) {
        self.remove_progress(id);
        let Some(holder) = self.holders.remove(&id) else {
            return;
        };
        let section = &mut self.sections[holder.section];
        section.used -= holder.bytes;
        if holder.is_revoked {
            section.revoked -= holder.bytes;
        }
    }
}
