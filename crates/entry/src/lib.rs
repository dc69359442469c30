//! The process that takes callers' requests and finds an endpoint for each.
//!
//! A request passes through the stages authenticate, classify, choose, offer and deliver, each in
//! a module of that name.

mod authenticate;
mod call;
mod choose;
mod classify;
mod deliver;
mod fleet;
mod idempotency;
mod metrics;
mod offer;
mod prefix;
mod refuse;
mod run;
mod server;

pub use run::run;
