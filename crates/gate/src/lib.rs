//! The admission of work at an endpoint, decided by the agent beside it.
//!
//! A [`Policy`] is a pure decision: it takes events and the time and returns actions.

mod plain;
mod policy;

pub use plain::Plain;
pub use policy::{Action, Ask, Event, Outcome, Policy, Sign};
