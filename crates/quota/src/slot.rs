use std::{
    fmt,
    sync::{Arc, OnceLock},
    time::Duration,
};

use tokio_util::sync::CancellationToken;

use crate::{Connections, Exchange, connections::Connection};

/// How long a closed connection waits for its client to read the answer.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    /// Time until the connection is closed for good.
    pub time: Duration,
    /// Most bytes that are read and discarded meanwhile.
    pub bytes: usize,
}

/// Place of one connection; it is free again when dropped.
pub struct Slot {
    connections: Connections,
    id: u64,
    revocation: CancellationToken,
    patience: OnceLock<Patience>,
}

impl fmt::Debug for Slot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Slot")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}

impl Slot {
    pub(crate) const fn new(
        connections: Connections,
        id: u64,
        revocation: CancellationToken,
    ) -> Self {
        Self {
            connections,
            id,
            revocation,
            patience: OnceLock::new(),
        }
    }

    /// Records that the head of a request was read.
    #[must_use]
    pub fn begin(self: &Arc<Self>) -> Exchange {
        self.record(|connection| connection.exchanges += 1);
        Exchange::new(self.clone())
    }

    /// Records whether the client does not read what was sent.
    pub fn set_blocked(&self, is_blocked: bool) {
        self.record(|connection| connection.is_blocked = is_blocked);
    }

    /// Makes the connection wait for its client when it is closed, since the client may not read the answer before it has
    /// sent a body that nobody reads; only the first call has an effect.
    pub fn linger(&self, patience: Patience) {
        self.patience.get_or_init(|| patience);
    }

    pub(crate) fn patience(&self) -> Option<Patience> {
        self.patience.get().copied()
    }

    /// Changes what the connection waits for, which counts as progress.
    pub(crate) fn record(&self, change: impl FnOnce(&mut Connection)) {
        self.connections.record(self.id, change);
    }

    /// Waits until the connection must be closed at once.
    pub async fn revoked(&self) {
        self.revocation.cancelled().await;
    }

    /// Returns the token that is cancelled when the connection must be closed at once.
    #[must_use]
    pub fn revocation(&self) -> CancellationToken {
        self.revocation.clone()
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.connections.remove(self.id);
    }
}
