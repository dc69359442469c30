//! The agent: runs next to an endpoint and is the only process that sends requests and orders to
//! the endpoint's engine or service.
//!
//! An attempt passes through these stages: `record` reserves its idempotency key, if it has one,
//! `admission` admits it, `run` runs it at the engine, and `output` sends the answer to the entry.

mod admission;
mod coordinator;
mod engine;
mod health;
mod metrics;
mod orders;
mod output;
mod record;
mod run;
mod serve;
mod start;

pub use start::run;
