//! Tests of the decisions under load.

mod pass_forecast;
mod rank_admission;
mod rank_levels;
mod return_times;
mod support;
mod team_shares;
mod zone_spill;
