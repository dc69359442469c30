//! Tests of the decisions under load.

mod rank_admission;
mod return_times;
mod support;
mod team_shares;
