//! Tests of the decisions under load.

mod pass_forecast;
mod rank_levels;
