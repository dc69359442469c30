//! Tests of how the expert maps of groups are planned and changed.

mod leader_plans;
mod leader_restarts;
mod map_delta;
mod popularity_decay;
mod sudden_demand;
mod switch_model;
mod topic_returns;
