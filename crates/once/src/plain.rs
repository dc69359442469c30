use std::{collections::HashMap, sync::Arc};

use fault::{ErrorKind, Fault};
use tokio::time::Instant;
use wire::{Fingerprint, Key, Token};

use crate::{Answer, Ledger, Reserve, Reserved};

/// Keeps records without a bound in time.
pub struct Plain {
    capacity: usize,
    next: Token,
    records: HashMap<Key, Record>,
}

struct Record {
    fingerprint: Fingerprint,
    state: State,
}

enum State {
    Reserved(Token),
    Started,
    Finished(Arc<Answer>),
    Unknown,
}

impl Plain {
    /// Creates an empty ledger that holds `capacity` records at most.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            next: 1,
            records: HashMap::new(),
        }
    }

    fn issue(&mut self) -> Token {
        let token = self.next;
        self.next += 1;
        token
    }
}

impl Ledger for Plain {
    fn reserve(&mut self, reserve: Reserve, _now: Instant) -> Reserved {
        let token = self.issue();
        let full = self.records.len() >= self.capacity;
        let Some(record) = self.records.get_mut(&reserve.key) else {
            if full {
                return Reserved::Refused(ErrorKind::RecordsFull.into());
            }
            let record = Record {
                fingerprint: reserve.fingerprint,
                state: State::Reserved(token),
            };
            self.records.insert(reserve.key, record);
            return Reserved::Token(token);
        };
        if record.fingerprint != reserve.fingerprint {
            return Reserved::Refused(ErrorKind::KeyMismatch.into());
        }
        match &record.state {
            State::Reserved(_) => {
                record.state = State::Reserved(token);
                Reserved::Token(token)
            }
            State::Started => Reserved::Refused(ErrorKind::InProgress.into()),
            State::Finished(answer) => Reserved::Replay(answer.clone()),
            State::Unknown => Reserved::Refused(ErrorKind::Interrupted.into()),
        }
    }

    fn start(&mut self, key: &Key, token: Token, _now: Instant) -> Result<(), Fault> {
        let Some(record) = self.records.get_mut(key) else {
            return Err(ErrorKind::KeyInvalid.into());
        };
        match record.state {
            State::Reserved(newest) if newest == token => {
                record.state = State::Started;
                Ok(())
            }
            _ => Err(ErrorKind::InProgress.into()),
        }
    }

    fn withdraw(&mut self, key: &Key, token: Token, _now: Instant) -> bool {
        let Some(record) = self.records.get(key) else {
            return true;
        };
        match record.state {
            State::Reserved(newest) if newest == token => {
                self.records.remove(key);
                true
            }
            State::Reserved(_) => true,
            State::Started | State::Finished(_) | State::Unknown => false,
        }
    }

    fn finish(&mut self, key: &Key, answer: Option<Arc<Answer>>, _now: Instant) {
        let Some(record) = self.records.get_mut(key) else {
            return;
        };
        record.state = answer.map_or(State::Unknown, State::Finished);
    }
}
