//! The admission of work at an endpoint, decided by the agent beside it.
//!
//! A [`Policy`] is a pure decision: it takes events and the time and returns actions.

mod controller;
mod drain;
mod passthrough;
mod policy;
mod pulse;
mod queue;
mod ramp;
mod suspects;

pub use controller::Controller;
pub use passthrough::Passthrough;
pub use policy::{Action, Descriptor, Event, Outcome, Policy, Status};
pub use suspects::Suspects;
