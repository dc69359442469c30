//! Tests of what is known of the fleet.

mod lapsed_entries;
mod replica_order;
mod store_follower;
mod support;
