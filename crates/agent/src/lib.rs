//! The process beside an endpoint: the only giver of work and orders to its engine or service.
//!
//! An attempt passes through the stages admit, reserve, run and answer.

mod admit;
mod engine;
mod health;
mod lead;
mod metrics;
mod orders;
mod outlet;
mod record;
mod run;
mod serve;
mod start;

pub use start::run;
