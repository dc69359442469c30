//! Tests of the routing policy.

mod crash_suspects;
mod prefix_affinity;
mod retry_rules;
mod stalled_group;
mod support;
mod team_rate;
mod zone_failover;
