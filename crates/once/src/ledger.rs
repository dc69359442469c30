use std::sync::Arc;

use bytes::Bytes;
use conf::Document;
use fault::Fault;
use tokio::time::Instant;
use wire::{Attempt, Fingerprint, Head, Key, Request, Token};

/// Keeps the record of each run that may not be repeated.
pub trait Ledger: Send {
    /// Takes in the configuration, which sets the bounds and the owners of callers' own keys.
    fn configure(&mut self, document: &Document, now: Instant);

    /// Makes or renews the reservation of a key.
    fn reserve(&mut self, reserve: Reservation, now: Instant) -> Decision;

    /// Allows a reserved run to start.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the token is not the newest of its key or the run has started before.
    fn start(&mut self, key: &Key, token: Token, now: Instant) -> Result<(), Fault>;

    /// Cancels a reservation that has not started; its token is void from then on.
    ///
    /// Returns whether the run is now known never to start under this token.
    fn cancel(&mut self, key: &Key, token: Token, now: Instant) -> bool;

    /// Records how a started run ended; `None` if its outcome cannot be known.
    fn finish(&mut self, key: &Key, answer: Option<Arc<Answer>>, now: Instant);

    /// Records that a started run never reached the endpoint; the key may be used again.
    fn release(&mut self, key: &Key, now: Instant);

    /// Returns what is kept.
    fn usage(&self) -> Usage;
}

/// Asks for a reservation.
#[derive(Clone, Debug)]
pub struct Reservation {
    /// Key of the request.
    pub key: Key,
    /// Id of the request.
    pub request: Request,
    /// Number of the attempt.
    pub attempt: Attempt,
    /// Hash of the request, which must be the same for each use of the key.
    pub fingerprint: Fingerprint,
    /// Time after which the run may not start any more.
    pub deadline: Instant,
}

/// What a ledger keeps.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    /// Records.
    pub records: usize,
    /// Bytes of stored answers.
    pub bytes: u64,
}

/// Answers a request for a reservation.
#[derive(Clone, Debug)]
pub enum Decision {
    /// The run may start with this token.
    Granted(Token),
    /// The run is over; its answer is given again.
    Replay(Arc<Answer>),
    /// The run may not start.
    Refused(Fault),
}

/// Whole answer of a finished run.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Answer {
    /// Head, as it was first sent.
    pub head: Head,
    /// Body.
    pub body: Bytes,
}
