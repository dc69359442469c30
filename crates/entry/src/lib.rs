//! The process that takes callers' requests and finds an endpoint for each.
//!
//! A request passes through the stages authenticate, classify, choose, offer and deliver, each in
//! a module of that name.

mod attempt;
mod authenticate;
mod call;
mod choose;
mod classify;
mod deliver;
mod fleet;
mod idempotency;
mod issue;
mod metrics;
mod offer;
mod prefix;
mod pump;
mod refuse;
mod run;
mod server;

pub use run::run;
