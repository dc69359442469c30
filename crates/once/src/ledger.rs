use std::sync::Arc;

use bytes::Bytes;
use conf::Document;
use fault::Fault;
use tokio::time::Instant;
use wire::{Attempt, Fingerprint, Head, Key, Request, Token};

/// Stores a record for each idempotency key, so that the key's request runs at most once.
pub trait Ledger: Send {
    /// Applies a configuration, which sets the bounds and the owners of client-supplied keys.
    fn configure(&mut self, document: &Document, now: Instant);

    /// Creates or renews the reservation of a key.
    fn reserve(&mut self, reservation: Reservation, now: Instant) -> Decision;

    /// Marks the run of a reserved key as started.
    ///
    /// # Errors
    ///
    /// Returns the reason for the refusal if the token is not the newest of its key, the run has
    /// already started, or the deadline of the reservation has passed.
    fn start(&mut self, key: &Key, token: Token, now: Instant) -> Result<(), Fault>;

    /// Cancels a reservation whose run has not started, and invalidates its token.
    ///
    /// Returns whether the run is now known never to start with this token.
    fn cancel(&mut self, key: &Key, token: Token, now: Instant) -> bool;

    /// Records the answer of a started run, or `None` if its outcome cannot be known.
    fn finish(&mut self, key: &Key, answer: Option<Arc<Answer>>, now: Instant);

    /// Removes the record of a started run that never reached the endpoint, so that the key may be
    /// used again.
    fn release(&mut self, key: &Key, now: Instant);

    /// Returns the number of records and the size of the stored answers.
    fn usage(&self) -> Usage;
}

/// Request to reserve a key for one run.
#[derive(Clone, Debug)]
pub struct Reservation {
    /// Idempotency key to reserve.
    pub key: Key,
    /// Id of the request that carries the key.
    pub request: Request,
    /// Number of the attempt at the request, counted from 1.
    pub attempt: Attempt,
    /// Hash of the request, which must be the same for each use of the key.
    pub fingerprint: Fingerprint,
    /// Time from which the run may no longer start.
    pub deadline: Instant,
}

/// Amount of data that a ledger stores.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    /// Number of records, whatever their state.
    pub records: usize,
    /// Total size of the bodies of stored answers, in bytes.
    pub bytes: u64,
}

/// Result of a request to reserve a key.
#[derive(Clone, Debug)]
pub enum Decision {
    /// The run may start with this token.
    Granted(Token),
    /// The run has finished; its stored answer is sent again.
    Replay(Arc<Answer>),
    /// The run may not start.
    Refused(Fault),
}

/// Complete answer of a finished run.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Answer {
    /// Head as first sent, with the id and attempt of that request.
    pub head: Head,
    /// Complete body.
    pub body: Bytes,
}
