//! Tests of the decisions under load.

mod rank_levels;
