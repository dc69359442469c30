//! The admission of work at an endpoint, decided by the agent beside it.
//!
//! A [`Policy`] is a pure decision: it takes events and the time and returns actions.

mod drain;
mod guard;
mod plain;
mod policy;
mod pulse;
mod queue;
mod ramp;
mod suspect;

pub use guard::Guard;
pub use plain::Plain;
pub use policy::{Action, Ask, Event, Outcome, Policy, Sign};
pub use suspect::Suspects;
