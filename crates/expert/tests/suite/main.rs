//! Tests of expert maps.

mod bad_input;
mod even_shares;
mod good_plans;
mod spec;
mod switch_safety;
