//! Tests of how groups are steered.

mod lead_plans;
mod switch_model;
mod tally_decay;
mod topic_returns;
