//! Tests of the admission policy.

mod cold_bound;
mod crash_suspects;
mod fair_queue;
mod support;
mod zone_out;
