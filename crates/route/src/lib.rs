//! The choice of an endpoint for each attempt at a request, made by an entry.
//!
//! A [`Policy`] is a pure decision: it takes events and the time and returns actions.

mod plain;
mod policy;

pub use plain::Plain;
pub use policy::{Action, Ask, Event, Policy};
