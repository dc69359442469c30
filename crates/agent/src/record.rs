use std::sync::{Arc, Mutex};

use conf::Document;
use fault::{ErrorKind, Fault};
use once::{Answer, Decision, Ledger};
use tokio::time::Instant;
use wire::{Key, Offer, Token};

use crate::{metrics::Metrics, run::Ended};

/// Shares the ledger between the attempts.
///
/// Lock order: `ledger` is the only lock and is never held across an await, nor while the
/// gatekeeper is told anything.
#[derive(Clone)]
pub(crate) struct Book {
    ledger: Arc<Mutex<Box<dyn Ledger>>>,
    metrics: Metrics,
}

/// What the reserve stage found.
pub(crate) enum Reservation {
    /// The attempt may be repeated and starts at once.
    None,
    /// The attempt starts when the token comes back.
    Held(Hold),
    /// The attempt was run before.
    Replay(Arc<Answer>),
}

impl Book {
    /// Creates a book over a ledger.
    pub(crate) fn new(ledger: Box<dyn Ledger>, metrics: Metrics) -> Self {
        Self {
            ledger: Arc::new(Mutex::new(ledger)),
            metrics,
        }
    }

    /// Brings a configuration into force.
    pub(crate) fn adopt(&self, document: &Document) {
        self.with(|ledger| ledger.configure(document, Instant::now()));
    }

    /// Makes a record for an attempt that may not be repeated.
    ///
    /// # Errors
    ///
    /// Returns the ledger's refusal.
    pub(crate) fn reserve(&self, offer: &Offer, deadline: Instant) -> Result<Reservation, Fault> {
        let Some(key) = &offer.key else {
            return Ok(Reservation::None);
        };
        let reserve = once::Reservation {
            key: key.clone(),
            request: offer.request.clone(),
            attempt: offer.attempt,
            fingerprint: offer.fingerprint,
            deadline,
        };
        let reserved = self
            .with(|ledger| ledger.reserve(reserve, Instant::now()))
            .ok_or(ErrorKind::Internal)?;
        match reserved {
            Decision::Granted(token) => Ok(Reservation::Held(Hold {
                book: self.clone(),
                key: key.clone(),
                token,
                started: false,
            })),
            Decision::Replay(answer) => Ok(Reservation::Replay(answer)),
            Decision::Refused(fault) => Err(fault),
        }
    }

    fn with<T>(&self, act: impl FnOnce(&mut dyn Ledger) -> T) -> Option<T> {
        let mut ledger = self.ledger.lock().ok()?;
        let result = act(ledger.as_mut());
        self.metrics.keeps(ledger.usage());
        Some(result)
    }
}

/// Reservation of a key, and its run once that has started.
///
/// Dropping it withdraws a reservation, and marks the outcome of a run as unknown.
pub(crate) struct Hold {
    book: Book,
    key: Key,
    token: Token,
    started: bool,
}

impl Hold {
    /// Returns the token that starts the run.
    pub(crate) const fn token(&self) -> Token {
        self.token
    }

    /// Starts the run if `token` is the newest of the key.
    ///
    /// # Errors
    ///
    /// Returns why it may not start.
    pub(crate) fn start(&mut self, token: Token) -> Result<(), Fault> {
        let start = |ledger: &mut dyn Ledger| ledger.start(&self.key, token, Instant::now());
        self.book.with(start).ok_or(ErrorKind::Internal)??;
        self.started = true;
        Ok(())
    }

    /// Withdraws the reservation and returns the refusal, which says whether the key was run.
    pub(crate) fn refuse(self, fault: Fault) -> Fault {
        let withdraw =
            |ledger: &mut dyn Ledger| ledger.cancel(&self.key, self.token, Instant::now());
        if self.book.with(withdraw) == Some(true) {
            fault
        } else {
            fault.run_unknown()
        }
    }

    /// Records how the run ended.
    pub(crate) fn finish(mut self, ended: Ended) {
        self.started = false;
        let now = Instant::now();
        self.book.with(|ledger| match ended {
            Ended::Kept(answer) => ledger.finish(&self.key, Some(Arc::new(answer)), now),
            Ended::NotRun => ledger.release(&self.key, now),
            Ended::Gone => ledger.finish(&self.key, None, now),
        });
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        let now = Instant::now();
        self.book.with(|ledger| {
            if self.started {
                ledger.finish(&self.key, None, now);
            } else {
                ledger.cancel(&self.key, self.token, now);
            }
        });
    }
}
