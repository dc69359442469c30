use std::{collections::BTreeMap, sync::Arc, time::Duration};

use conf::{Document, Policy, id};
use fault::{ErrorKind, Fault};
use tokio::time::Instant;
use wire::{Fingerprint, Key, Owner, Token};

use crate::{Answer, Decision, Ledger, Owners, Ownership, Reservation, Usage};

/// By how much the clocks of two VMs may differ.
const SKEW: Duration = Duration::from_secs(30);
/// Bytes of stored answers for each record that is allowed.
const ANSWER_SHARE: u64 = 4 * 1024;
/// Time after which callers ask again for an answer that is being made.
const ASK_AGAIN: Duration = Duration::from_secs(1);
/// Time after which callers come back to a full store.
const COME_BACK: Duration = Duration::from_secs(10);

/// Bounds of the store, in records, bytes and time.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Bounds {
    /// Records at most.
    pub records: usize,
    /// Bytes of stored answers above which no new key is taken.
    pub bytes: u64,
    /// Time for which callers may repeat a request under one key.
    pub retry_horizon: Duration,
    /// Longest time from the arrival of a request to the start of its run.
    pub deadline: Duration,
}

impl Bounds {
    /// Returns the time for which a record is kept after its last change.
    ///
    /// It covers the horizon, a first and a last send that take their whole time, and the
    /// difference of two clocks.
    #[must_use]
    pub fn retention(&self) -> Duration {
        self.retry_horizon + 2 * self.deadline + SKEW
    }

    /// Returns the time after which a new owner takes callers' own keys.
    ///
    /// It leaves an earlier owner one horizon to learn that it owns the key no longer.
    #[must_use]
    pub fn settling_time(&self) -> Duration {
        self.retention() + self.retry_horizon
    }
}

impl From<&Policy> for Bounds {
    fn from(policy: &Policy) -> Self {
        Self {
            records: policy.records as usize,
            bytes: u64::from(policy.records) * ANSWER_SHARE,
            retry_horizon: policy.retry_horizon,
            deadline: policy.deadline,
        }
    }
}

/// Keeps the run records of one life of an agent in memory.
///
/// A run starts only with the newest token of its key; each reservation voids the tokens before
/// it. Records of runs are kept longer than callers may repeat a request, and a full store takes
/// no new keys.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Records {
    incarnation: id::Incarnation,
    born: Instant,
    owners: Owners,
    bounds: Bounds,
    /// Starts at the number of the life, so that no two lives give out the same token.
    next: Token,
    bytes: u64,
    records: BTreeMap<Key, Record>,
    /// Keys by the time at which their records may be forgotten, each once.
    due: BTreeMap<(Instant, Token), Key>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Record {
    fingerprint: Fingerprint,
    state: State,
    due: (Instant, Token),
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum State {
    Reserved { token: Token, deadline: Instant },
    Started,
    Finished(Arc<Answer>),
    Unknown,
}

impl Records {
    /// Creates the empty store of an agent's life, whose number is its start in nanoseconds since 1970.
    #[must_use]
    pub fn new(endpoint: id::Endpoint, incarnation: id::Incarnation, born: Instant) -> Self {
        Self {
            incarnation,
            born,
            owners: Owners::new(endpoint, born),
            bounds: Bounds::from(&Policy::default()),
            next: incarnation + 1,
            bytes: 0,
            records: BTreeMap::new(),
            due: BTreeMap::new(),
        }
    }

    /// Returns the bounds in force.
    #[must_use]
    pub const fn bounds(&self) -> Bounds {
        self.bounds
    }

    /// Returns the time in seconds since 1970, by a clock that never goes back.
    fn clock(&self, now: Instant) -> u64 {
        let born = Duration::from_nanos(self.incarnation);
        (born + now.saturating_duration_since(self.born)).as_secs()
    }

    /// Checks that this life of the agent may run a key of which it has no record.
    fn check(&self, key: &Key, now: Instant) -> Result<(), Fault> {
        match key.owner {
            Some(owner) => self.check_issued(owner, now),
            None => self.check_own(key, now),
        }
    }

    fn check_issued(&self, owner: Owner, now: Instant) -> Result<(), Fault> {
        if owner.incarnation != self.incarnation {
            return Err(ErrorKind::OwnerLost.into());
        }
        let clock = self.clock(now);
        if owner.expires <= clock {
            return Err(Fault::new(ErrorKind::KeyInvalid)
                .detail("the key has expired")
                .run_unknown());
        }
        if owner.expires - clock > (self.bounds.retry_horizon + SKEW).as_secs() {
            return Err(Fault::new(ErrorKind::KeyInvalid).detail("the key expires too late"));
        }
        Ok(())
    }

    fn check_own(&self, key: &Key, now: Instant) -> Result<(), Fault> {
        match self.owners.ownership(key, self.bounds.settling_time(), now) {
            Ownership::Settled => Ok(()),
            Ownership::Unsettled => Err(Fault::new(ErrorKind::OwnerLost)
                .detail("the owner is too young to know the key; use a key from POST /v1/keys")),
            Ownership::Other => Err(ErrorKind::StaleVersion.into()),
        }
    }

    fn insert(&mut self, reserve: Reservation, now: Instant) -> Decision {
        if let Err(fault) = self.check(&reserve.key, now) {
            return Decision::Refused(fault);
        }
        if self.records.len() >= self.bounds.records || self.bytes >= self.bounds.bytes {
            return Decision::Refused(Fault::new(ErrorKind::RecordsFull).retry_after(COME_BACK));
        }
        let token = self.issue();
        let due = (reserve.deadline, token);
        let state = State::Reserved {
            token,
            deadline: reserve.deadline,
        };
        let record = Record {
            fingerprint: reserve.fingerprint,
            state,
            due,
        };
        self.due.insert(due, reserve.key.clone());
        self.records.insert(reserve.key, record);
        Decision::Granted(token)
    }

    fn issue(&mut self) -> Token {
        let token = self.next;
        self.next += 1;
        token
    }

    /// Changes the state of a record and the time at which it may be forgotten.
    fn change(&mut self, key: &Key, state: State, until: Instant) {
        let Some(record) = self.records.get_mut(key) else {
            return;
        };
        self.due.remove(&record.due);
        record.state = state;
        record.due.0 = until;
        self.due.insert(record.due, key.clone());
    }

    fn remove(&mut self, key: &Key) {
        let Some(record) = self.records.remove(key) else {
            return;
        };
        self.due.remove(&record.due);
        if let State::Finished(answer) = &record.state {
            self.bytes -= answer.body.len() as u64;
        }
    }

    /// Forgets what nobody may ask for any more; a run in progress is kept.
    fn sweep(&mut self, now: Instant) {
        while let Some(entry) = self.due.first_entry() {
            if entry.key().0 > now {
                return;
            }
            let key = entry.get().clone();
            if self.state(&key) == Some(&State::Started) {
                self.change(&key, State::Started, now + self.bounds.retention());
            } else {
                self.remove(&key);
            }
        }
    }

    fn state(&self, key: &Key) -> Option<&State> {
        self.records.get(key).map(|record| &record.state)
    }
}

impl Ledger for Records {
    fn configure(&mut self, document: &Document, now: Instant) {
        let old = self.bounds;
        self.bounds = Bounds::from(&document.policy);
        if self.bounds.retention() > old.retention() {
            let known = now.checked_sub(old.retention()).unwrap_or(now);
            self.owners.forget_before(known);
        }
        let oldest = now.checked_sub(self.bounds.settling_time().max(old.settling_time()));
        self.owners.configure(document, oldest, now);
    }

    fn reserve(&mut self, reserve: Reservation, now: Instant) -> Decision {
        self.sweep(now);
        let Some(record) = self.records.get(&reserve.key) else {
            return self.insert(reserve, now);
        };
        if record.fingerprint != reserve.fingerprint {
            return Decision::Refused(ErrorKind::KeyMismatch.into());
        }
        match &record.state {
            State::Reserved { .. } => {
                let token = self.issue();
                let deadline = reserve.deadline;
                self.change(&reserve.key, State::Reserved { token, deadline }, deadline);
                Decision::Granted(token)
            }
            State::Started => {
                Decision::Refused(Fault::new(ErrorKind::InProgress).retry_after(ASK_AGAIN))
            }
            State::Finished(answer) => Decision::Replay(answer.clone()),
            State::Unknown => Decision::Refused(ErrorKind::Interrupted.into()),
        }
    }

    fn start(&mut self, key: &Key, token: Token, now: Instant) -> Result<(), Fault> {
        match self.state(key) {
            Some(State::Reserved {
                token: newest,
                deadline,
            }) if *newest == token => {
                if *deadline <= now {
                    self.remove(key);
                    return Err(ErrorKind::DeadlineExpired.into());
                }
                self.change(key, State::Started, now + self.bounds.retention());
                Ok(())
            }
            _ => Err(Fault::new(ErrorKind::InProgress)
                .retry_after(ASK_AGAIN)
                .detail("another send of the key took its place")),
        }
    }

    fn cancel(&mut self, key: &Key, token: Token, _now: Instant) -> bool {
        match self.state(key) {
            None => true,
            Some(State::Reserved { token: newest, .. }) => {
                if *newest == token {
                    self.remove(key);
                }
                true
            }
            Some(State::Started | State::Finished(_) | State::Unknown) => false,
        }
    }

    fn finish(&mut self, key: &Key, answer: Option<Arc<Answer>>, now: Instant) {
        if self.state(key) != Some(&State::Started) {
            return;
        }
        let state = answer.map_or(State::Unknown, State::Finished);
        if let State::Finished(answer) = &state {
            self.bytes += answer.body.len() as u64;
        }
        self.change(key, state, now + self.bounds.retention());
    }

    fn release(&mut self, key: &Key, _now: Instant) {
        if self.state(key) == Some(&State::Started) {
            self.remove(key);
        }
    }

    fn usage(&self) -> Usage {
        Usage {
            records: self.records.len(),
            bytes: self.bytes,
        }
    }
}
