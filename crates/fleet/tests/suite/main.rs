//! Tests of the replica of the store and of its follower.

mod gap_target;
mod lapsed_registrations;
mod long_cold_start;
mod replica_order;
mod store_duty;
mod store_eras;
mod store_follower;
mod store_outage;
mod support;
