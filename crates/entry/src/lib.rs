//! The entry: accepts clients' requests and routes each of them to an endpoint.
//!
//! A request passes through these stages, each in a module of that name: `authenticate` finds its
//! team, `classify` its service and route, `dispatch` gets an endpoint from the routing policy,
//! `offer` offers an attempt to the endpoint's agent, and `deliver` sends the answer to the client.

mod attempt;
mod authenticate;
mod call;
mod classify;
mod deliver;
mod dispatch;
mod endpoints;
mod idempotency;
mod keys;
mod metrics;
mod offer;
mod prefix;
mod problem;
mod relay;
mod run;
mod server;

pub use run::run;
