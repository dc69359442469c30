//! Tests of the crate `peer`.

mod link_choice;
mod member_table;
mod spread_model;
mod watch_turns;

use wire::{Member, Role};

/// Makes a member of a zone; its port stands for its address.
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
