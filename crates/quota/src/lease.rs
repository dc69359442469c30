use std::fmt;

use tokio_util::sync::CancellationToken;

use crate::{Denial, Memory};

/// Memory of one message; it is released when dropped.
pub struct Lease {
    memory: Memory,
    id: u64,
    revocation: CancellationToken,
}

impl fmt::Debug for Lease {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Lease")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}

impl Lease {
    pub(crate) const fn new(memory: Memory, id: u64, revocation: CancellationToken) -> Self {
        Self {
            memory,
            id,
            revocation,
        }
    }

    /// Takes further memory in bytes, which counts as progress; waits until others have released enough.
    ///
    /// Leases that have made no progress for longest are revoked as far as that is needed.
    ///
    /// # Errors
    ///
    /// Returns an error if nobody else can give way, or if this lease is revoked.
    pub async fn grow(&self, bytes: usize) -> Result<(), Denial> {
        loop {
            let released = self.memory.released();
            tokio::pin!(released);
            // A release between the attempt and the wait must not be missed.
            released.as_mut().enable();
            if self.memory.try_grow(self.id, bytes)? {
                return Ok(());
            }
            tokio::select! {
                () = released => {}
                () = self.revocation.cancelled() => return Err(Denial::Revoked),
            }
        }
    }

    /// Records progress without taking memory.
    pub fn record_progress(&self) {
        self.memory.record_progress(self.id);
    }

    /// Protects the lease from revocation from now on.
    ///
    /// # Errors
    ///
    /// Returns an error if the lease is already revoked.
    pub fn protect(&self) -> Result<(), Denial> {
        self.memory.protect(self.id)
    }

    /// Makes a lease that does not grow any more revocable; its revocation cancels `revocation`.
    pub fn expose(&self, revocation: CancellationToken) {
        self.memory.expose(self.id, revocation);
    }

    /// Waits until the lease is revoked; its bytes must be released at once.
    pub async fn revoked(&self) {
        self.revocation.cancelled().await;
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.memory.release(self.id);
    }
}
