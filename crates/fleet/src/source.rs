use std::fmt;

use futures::future::BoxFuture;

use crate::{Page, Patience, Revision};

/// Reason why a call to the store failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// The store no longer has the changes after the revision; the whole store must be listed again.
    Compacted,
    /// The store has begun this era with an older copy of its items; the whole store must be listed again.
    Restored(u64),
    /// The store refused the call or cannot be reached, for this reason.
    Unavailable(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Compacted => f.write_str("the store no longer has the requested changes"),
            Error::Restored(era) => write!(f, "the store has begun era {era}"),
            Error::Unavailable(reason) => f.write_str(reason),
        }
    }
}

impl std::error::Error for Error {}

/// Read-only interface to the platform's store.
pub trait Source: Send + Sync {
    /// Returns all items of the store; `patience` applies to each page.
    fn list(&self, patience: Patience) -> BoxFuture<'_, Result<Page, Error>>;

    /// Waits for changes after a revision; the page is empty if none occurs within the wait time.
    ///
    /// If the store has begun another era, the page is of that era and may lack changes.
    fn watch(&self, after: Revision, patience: Patience) -> BoxFuture<'_, Result<Page, Error>>;
}
