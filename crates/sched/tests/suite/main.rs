//! Tests of the decisions under load.

mod zone_spill;
