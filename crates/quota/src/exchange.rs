use std::sync::Arc;

use crate::Slot;

/// Request on a connection, from its head until the end of its answer.
#[derive(Debug)]
pub struct Exchange {
    slot: Arc<Slot>,
    is_receiving: bool,
}

impl Exchange {
    pub(crate) const fn new(slot: Arc<Slot>) -> Self {
        Self {
            slot,
            is_receiving: false,
        }
    }

    /// Returns the slot of the connection.
    #[must_use]
    pub fn slot(&self) -> &Slot {
        &self.slot
    }

    /// Records that a part of the body was received and that more must follow.
    pub fn receive(&mut self) {
        let is_first = !std::mem::replace(&mut self.is_receiving, true);
        self.slot
            .record(|connection| connection.receiving += usize::from(is_first));
    }

    /// Records that no more of the body is awaited.
    pub fn finish_receiving(&mut self) {
        if std::mem::take(&mut self.is_receiving) {
            self.slot.record(|connection| connection.receiving -= 1);
        }
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.finish_receiving();
        self.slot.record(|connection| connection.exchanges -= 1);
    }
}
