use std::fmt;

use futures::future::BoxFuture;

use crate::{Page, Revision};

/// Says why the store did not answer as asked.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// The changes since the revision are no longer kept; everything must be listed anew.
    Compacted,
    /// The store turns this process away or cannot be reached.
    Unavailable(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Compacted => f.write_str("the store no longer keeps the changes asked for"),
            Error::Unavailable(reason) => f.write_str(reason),
        }
    }
}

impl std::error::Error for Error {}

/// Port to the platform's store, which can only be read.
pub trait Source: Send + Sync {
    /// Lists the whole store.
    fn list(&self) -> BoxFuture<'_, Result<Page, Error>>;

    /// Waits for changes after a revision; may return without any after a while.
    fn watch(&self, after: Revision) -> BoxFuture<'_, Result<Page, Error>>;
}
