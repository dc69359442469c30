use std::{net::SocketAddr, sync::Mutex};

use tokio::time::Instant;
use wire::{Beat, Member};

use crate::Table;

/// Most processes told to another at a time.
const SAMPLE: usize = 32;

/// Shares the table of known processes between the parts of one.
///
/// Lock order: `table` is the only lock and is never held across an await.
#[derive(Default)]
pub struct Members {
    table: Mutex<Table>,
}

impl Members {
    /// Takes in a heartbeat.
    pub fn record_heartbeat(&self, beat: &Beat) {
        if let Ok(mut table) = self.table.lock() {
            table.record_heartbeat(beat.member.clone(), Instant::now());
        }
    }

    /// Takes in what a process says about others.
    pub fn merge(&self, members: Vec<Member>) {
        let Ok(mut table) = self.table.lock() else {
            return;
        };
        for member in members {
            table.merge(member, Instant::now());
        }
    }

    /// Takes in that the link to an address broke.
    pub fn mark_unreachable(&self, address: SocketAddr) {
        if let Ok(mut table) = self.table.lock() {
            table.mark_unreachable(address);
        }
    }

    /// Returns the processes that are not known to have failed, in the order of their names.
    #[must_use]
    pub fn list(&self) -> Vec<Member> {
        let Ok(mut table) = self.table.lock() else {
            return Vec::new();
        };
        table.tick(Instant::now());
        table.members()
    }

    /// Returns a bounded part of the list, spread evenly over it.
    #[must_use]
    pub fn sample(&self) -> Vec<Member> {
        let list = self.list();
        let step = list.len().div_ceil(SAMPLE).max(1);
        list.into_iter().step_by(step).collect()
    }
}
