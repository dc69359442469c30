use std::{collections::BTreeMap, sync::Arc, time::Duration};

use conf::{Document, Policy, id};
use fault::{ErrorKind, Fault};
use tokio::time::Instant;
use wire::{Fingerprint, Key, Owner, Token};

use crate::{Answer, Decision, Ledger, Owners, Ownership, Reservation, Usage};

/// Largest difference assumed between the clocks of two VMs.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(30);
/// Bytes of stored answers allowed per allowed record; the store limits only the total.
const ANSWER_BYTES_PER_RECORD: u64 = 4 * 1024;
/// Time after which a client should retry while the run of its key is in progress.
const IN_PROGRESS_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time after which a client should retry when the store is full.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Limits of the record store on size and time.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Bounds {
    /// Number of records from which the store accepts no new key.
    pub records: usize,
    /// Total size of stored answers, in bytes, from which the store accepts no new key.
    pub bytes: u64,
    /// Time for which clients may repeat a request with the same key.
    pub retry_horizon: Duration,
    /// Time from the arrival of a request after which its run may no longer start.
    pub deadline: Duration,
}

impl Bounds {
    /// Returns the time for which a record is kept after its last change.
    ///
    /// It covers the retry horizon, a first and a last request that each take until their
    /// deadline, and the difference between two clocks.
    #[must_use]
    pub fn retention(&self) -> Duration {
        self.retry_horizon + 2 * self.deadline + MAX_CLOCK_SKEW
    }

    /// Returns the time for which an agent must own a client-supplied key before it accepts it.
    ///
    /// It exceeds the retention by one retry horizon, in which a previous owner learns that it no
    /// longer owns the key.
    #[must_use]
    pub fn settling_time(&self) -> Duration {
        self.retention() + self.retry_horizon
    }
}

impl From<&Policy> for Bounds {
    fn from(policy: &Policy) -> Self {
        Self {
            records: policy.records as usize,
            bytes: u64::from(policy.records) * ANSWER_BYTES_PER_RECORD,
            retry_horizon: policy.retry_horizon,
            deadline: policy.deadline,
        }
    }
}

/// In-memory run records of one incarnation of an agent.
///
/// A run starts only with the newest token of its key; each reservation invalidates the earlier
/// tokens. Records of runs are kept for longer than clients may repeat a request, and a full store
/// accepts no new keys.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Records {
    incarnation: id::Incarnation,
    started: Instant,
    owners: Owners,
    bounds: Bounds,
    /// Starts after the incarnation number, so that no two incarnations issue the same token.
    next_token: Token,
    answer_bytes: u64,
    records: BTreeMap<Key, Record>,
    /// Keys by the time at which their records expire; the token makes each entry unique.
    expiries: BTreeMap<(Instant, Token), Key>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Record {
    fingerprint: Fingerprint,
    state: State,
    /// Key of the record's entry in [`Records::expiries`].
    expiry: (Instant, Token),
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum State {
    Reserved { token: Token, deadline: Instant },
    Started,
    Finished(Arc<Answer>),
    Unknown,
}

impl Records {
    /// Creates an empty store for an agent that started at `started`.
    ///
    /// `incarnation` is the same time in nanoseconds since 1970.
    #[must_use]
    pub fn new(endpoint: id::Endpoint, incarnation: id::Incarnation, started: Instant) -> Self {
        Self {
            incarnation,
            started,
            owners: Owners::new(endpoint, started),
            bounds: Bounds::from(&Policy::default()),
            next_token: incarnation + 1,
            answer_bytes: 0,
            records: BTreeMap::new(),
            expiries: BTreeMap::new(),
        }
    }

    /// Returns the limits set by the last configuration, or the defaults before it.
    #[must_use]
    pub const fn bounds(&self) -> Bounds {
        self.bounds
    }

    /// Returns the time in seconds since 1970, derived from the monotonic clock so that it never
    /// goes back.
    fn unix_time(&self, now: Instant) -> u64 {
        let started = Duration::from_nanos(self.incarnation);
        (started + now.saturating_duration_since(self.started)).as_secs()
    }

    /// Checks that this incarnation of the agent may run a key of which it has no record.
    fn check_owner(&self, key: &Key, now: Instant) -> Result<(), Fault> {
        match key.owner {
            Some(owner) => self.check_issued(owner, now),
            None => self.check_supplied(key, now),
        }
    }

    fn check_issued(&self, owner: Owner, now: Instant) -> Result<(), Fault> {
        if owner.incarnation != self.incarnation {
            return Err(ErrorKind::OwnerLost.into());
        }
        let unix_time = self.unix_time(now);
        if owner.expires <= unix_time {
            return Err(Fault::new(ErrorKind::KeyInvalid)
                .detail("the key has expired")
                .run_unknown());
        }
        if owner.expires - unix_time > (self.bounds.retry_horizon + MAX_CLOCK_SKEW).as_secs() {
            return Err(Fault::new(ErrorKind::KeyInvalid).detail("the key expires too late"));
        }
        Ok(())
    }

    fn check_supplied(&self, key: &Key, now: Instant) -> Result<(), Fault> {
        match self.owners.ownership(key, self.bounds.settling_time(), now) {
            Ownership::Settled => Ok(()),
            Ownership::Unsettled => Err(Fault::new(ErrorKind::OwnerLost)
                .detail("the owner is too young to know the key; use a key from POST /v1/keys")),
            Ownership::Other => Err(ErrorKind::StaleVersion.into()),
        }
    }

    fn insert(&mut self, reservation: Reservation, now: Instant) -> Decision {
        if let Err(fault) = self.check_owner(&reservation.key, now) {
            return Decision::Refused(fault);
        }
        if self.records.len() >= self.bounds.records || self.answer_bytes >= self.bounds.bytes {
            return Decision::Refused(
                Fault::new(ErrorKind::RecordsFull).retry_after(FULL_RETRY_AFTER),
            );
        }
        let token = self.next_token();
        let expiry = (reservation.deadline, token);
        let state = State::Reserved {
            token,
            deadline: reservation.deadline,
        };
        let record = Record {
            fingerprint: reservation.fingerprint,
            state,
            expiry,
        };
        self.expiries.insert(expiry, reservation.key.clone());
        self.records.insert(reservation.key, record);
        Decision::Granted(token)
    }

    fn next_token(&mut self) -> Token {
        let token = self.next_token;
        self.next_token += 1;
        token
    }

    /// Changes the state of a record and the time at which it expires.
    fn update(&mut self, key: &Key, state: State, expires: Instant) {
        let Some(record) = self.records.get_mut(key) else {
            return;
        };
        self.expiries.remove(&record.expiry);
        record.state = state;
        record.expiry.0 = expires;
        self.expiries.insert(record.expiry, key.clone());
    }

    fn remove(&mut self, key: &Key) {
        let Some(record) = self.records.remove(key) else {
            return;
        };
        self.expiries.remove(&record.expiry);
        if let State::Finished(answer) = &record.state {
            self.answer_bytes -= answer.body.len() as u64;
        }
    }

    /// Removes expired records; that of a run in progress is extended instead.
    fn remove_expired(&mut self, now: Instant) {
        while let Some(entry) = self.expiries.first_entry() {
            if entry.key().0 > now {
                return;
            }
            let key = entry.get().clone();
            if self.state(&key) == Some(&State::Started) {
                self.update(&key, State::Started, now + self.bounds.retention());
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
        let previous = self.bounds;
        self.bounds = Bounds::from(&document.policy);
        if self.bounds.retention() > previous.retention() {
            // Records older than the previous retention may already have been removed.
            let complete_since = now.checked_sub(previous.retention()).unwrap_or(now);
            self.owners.forget_before(complete_since);
        }
        let oldest = now.checked_sub(self.bounds.settling_time().max(previous.settling_time()));
        self.owners.configure(document, oldest, now);
    }

    fn reserve(&mut self, reservation: Reservation, now: Instant) -> Decision {
        self.remove_expired(now);
        let Some(record) = self.records.get(&reservation.key) else {
            return self.insert(reservation, now);
        };
        if record.fingerprint != reservation.fingerprint {
            return Decision::Refused(ErrorKind::KeyMismatch.into());
        }
        match &record.state {
            State::Reserved { .. } => {
                let token = self.next_token();
                let deadline = reservation.deadline;
                self.update(
                    &reservation.key,
                    State::Reserved { token, deadline },
                    deadline,
                );
                Decision::Granted(token)
            }
            State::Started => Decision::Refused(
                Fault::new(ErrorKind::InProgress).retry_after(IN_PROGRESS_RETRY_AFTER),
            ),
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
                self.update(key, State::Started, now + self.bounds.retention());
                Ok(())
            }
            _ => Err(Fault::new(ErrorKind::InProgress)
                .retry_after(IN_PROGRESS_RETRY_AFTER)
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
            self.answer_bytes += answer.body.len() as u64;
        }
        self.update(key, state, now + self.bounds.retention());
    }

    fn release(&mut self, key: &Key, _now: Instant) {
        if self.state(key) == Some(&State::Started) {
            self.remove(key);
        }
    }

    fn usage(&self) -> Usage {
        Usage {
            records: self.records.len(),
            bytes: self.answer_bytes,
        }
    }
}
