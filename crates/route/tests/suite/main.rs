//! Tests of the routing policy.

mod crash_retry;
mod prefix_home;
mod retry_rules;
mod stalled_group;
mod support;
mod team_rate;
mod zone_spill;
