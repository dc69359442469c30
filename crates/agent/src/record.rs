use std::sync::{Arc, Mutex};

use conf::Document;
use fault::{ErrorKind, Fault};
use once::{Answer, Ledger};
use tokio::time::Instant;
use wire::{Key, Offer, Token};

use crate::{metrics::Metrics, run::Ending};

/// Ledger of run records that all attempts share.
///
/// Lock order: `ledger` is the only lock and is not held across an await, nor while an event is
/// passed to the admission policy.
#[derive(Clone)]
pub(crate) struct Store {
    ledger: Arc<Mutex<Box<dyn Ledger>>>,
    metrics: Metrics,
}

/// Result of [`Store::reserve`].
pub(crate) enum Decision {
    /// The attempt has no key and needs no reservation.
    Unkeyed,
    /// The key is reserved; the attempt starts when the entry returns the token.
    Reserved(Reservation),
    /// The key was run before, with this answer.
    Replay(Arc<Answer>),
}

impl Store {
    /// Creates a store that owns a ledger.
    pub(crate) fn new(ledger: Box<dyn Ledger>, metrics: Metrics) -> Self {
        Self {
            ledger: Arc::new(Mutex::new(ledger)),
            metrics,
        }
    }

    /// Applies a configuration.
    pub(crate) fn apply(&self, document: &Document) {
        self.with_ledger(|ledger| ledger.configure(document, Instant::now()));
    }

    /// Reserves the idempotency key of an attempt, if it has one.
    ///
    /// # Errors
    ///
    /// Returns the ledger's refusal.
    pub(crate) fn reserve(&self, offer: &Offer, deadline: Instant) -> Result<Decision, Fault> {
        let Some(key) = &offer.key else {
            return Ok(Decision::Unkeyed);
        };
        let reservation = once::Reservation {
            key: key.clone(),
            request: offer.request.clone(),
            attempt: offer.attempt,
            fingerprint: offer.fingerprint,
            deadline,
        };
        let decision = self
            .with_ledger(|ledger| ledger.reserve(reservation, Instant::now()))
            .ok_or(ErrorKind::Internal)?;
        match decision {
            once::Decision::Granted(token) => Ok(Decision::Reserved(Reservation {
                store: self.clone(),
                key: key.clone(),
                token,
                started: false,
            })),
            once::Decision::Replay(answer) => Ok(Decision::Replay(answer)),
            once::Decision::Refused(fault) => Err(fault),
        }
    }

    /// Calls a function on the ledger and updates the metrics; returns `None` if the lock is
    /// poisoned.
    fn with_ledger<T>(&self, operation: impl FnOnce(&mut dyn Ledger) -> T) -> Option<T> {
        let mut ledger = self.ledger.lock().ok()?;
        let result = operation(ledger.as_mut());
        self.metrics.set_usage(ledger.usage());
        Some(result)
    }
}

/// Reservation of a key, and the run under it once that has started.
///
/// Dropping it withdraws the reservation, or, after the start, records that the outcome is unknown.
pub(crate) struct Reservation {
    store: Store,
    key: Key,
    token: Token,
    started: bool,
}

impl Reservation {
    /// Returns the token with which the entry starts the run.
    pub(crate) const fn token(&self) -> Token {
        self.token
    }

    /// Marks the run as started if `token` is the newest token of the key.
    ///
    /// # Errors
    ///
    /// Returns the ledger's refusal, in which case the run must not start.
    pub(crate) fn start(&mut self, token: Token) -> Result<(), Fault> {
        let start = |ledger: &mut dyn Ledger| ledger.start(&self.key, token, Instant::now());
        self.store.with_ledger(start).ok_or(ErrorKind::Internal)??;
        self.started = true;
        Ok(())
    }

    /// Withdraws the reservation of a refused attempt.
    ///
    /// Returns the fault of the refusal, with `run: unknown` if the key may have been run.
    pub(crate) fn withdraw(self, fault: Fault) -> Fault {
        let withdraw =
            |ledger: &mut dyn Ledger| ledger.cancel(&self.key, self.token, Instant::now());
        if self.store.with_ledger(withdraw) == Some(true) {
            fault
        } else {
            fault.run_unknown()
        }
    }

    /// Records how the run ended.
    pub(crate) fn finish(mut self, ending: Ending) {
        self.started = false;
        let now = Instant::now();
        self.store.with_ledger(|ledger| match ending {
            Ending::Stored(answer) => ledger.finish(&self.key, Some(Arc::new(answer)), now),
            Ending::NotRun => ledger.release(&self.key, now),
            Ending::Discarded => ledger.finish(&self.key, None, now),
        });
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let now = Instant::now();
        self.store.with_ledger(|ledger| {
            if self.started {
                ledger.finish(&self.key, None, now);
            } else {
                ledger.cancel(&self.key, self.token, now);
            }
        });
    }
}
