use std::{net::SocketAddr, sync::Mutex};

use tokio::time::Instant;
use wire::{Heartbeat, Member};

use crate::Table;

/// Limit on the number of processes in one message to a peer.
const MAX_SAMPLE: usize = 32;

/// Thread-safe table of known processes, shared by the tasks of one process.
///
/// Lock order: `table` is the only lock and is never held across an await.
#[derive(Default)]
pub struct Members {
    table: Mutex<Table>,
}

impl Members {
    /// Records a heartbeat received directly from its sender.
    pub fn record_heartbeat(&self, heartbeat: &Heartbeat) {
        if let Ok(mut table) = self.table.lock() {
            table.record_heartbeat(heartbeat.member.clone(), Instant::now());
        }
    }

    /// Merges what a peer reports about other processes.
    pub fn merge(&self, members: Vec<Member>) {
        let Ok(mut table) = self.table.lock() else {
            return;
        };
        for member in members {
            table.merge(member, Instant::now());
        }
    }

    /// Marks the processes at an address as unreachable after the link to it broke.
    pub fn mark_unreachable(&self, address: SocketAddr) {
        if let Ok(mut table) = self.table.lock() {
            table.mark_unreachable(address);
        }
    }

    /// Returns the processes that are not unreachable, sorted by name.
    #[must_use]
    pub fn list(&self) -> Vec<Member> {
        let Ok(mut table) = self.table.lock() else {
            return Vec::new();
        };
        table.tick(Instant::now());
        table.members()
    }

    /// Returns at most 32 processes, spread evenly over the sorted list.
    #[must_use]
    pub fn sample(&self) -> Vec<Member> {
        let list = self.list();
        let step = list.len().div_ceil(MAX_SAMPLE).max(1);
        list.into_iter().step_by(step).collect()
    }
}
