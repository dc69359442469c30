//! Tests of the crate `peer`.

mod link_choice;
mod log_replication;
mod member_table;
mod watcher_election;

use wire::{Member, Role};

/// Creates an agent in a zone that listens on a loopback port.
fn member(process: &str, zone: &str, incarnation: u64, port: u16) -> Member {
    Member {
        process: process.into(),
        incarnation,
        role: Role::Agent,
        zone: zone.into(),
        address: ([127, 0, 0, 1], port).into(),
        leaving: false,
    }
}
