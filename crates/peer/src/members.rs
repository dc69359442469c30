use std::sync::Mutex;

use tokio::time::Instant;
use wire::{Beat, Member};

use crate::Table;

/// Shares the table of known processes between the parts of one.
///
/// Lock order: `table` is the only lock and is never held across an await.
#[derive(Default)]
pub struct Members {
    table: Mutex<Table>,
}

impl Members {
    /// Takes in a heartbeat.
    pub fn observe(&self, beat: &Beat) {
        if let Ok(mut table) = self.table.lock() {
            table.observe(beat.member.clone(), Instant::now());
        }
    }

    /// Returns the known processes in the order of their names.
    #[must_use]
    pub fn list(&self) -> Vec<Member> {
        self.table
            .lock()
            .map(|table| table.members())
            .unwrap_or_default()
    }
}
