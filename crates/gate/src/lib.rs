//! Admission control for an endpoint, run by the agent next to it.
//!
//! A [`Policy`] does no I/O and reads no clock: it takes events and the time and returns actions.

mod controller;
mod limiter;
mod passthrough;
mod pause;
mod policy;
mod queue;
mod suspects;
mod throughput;

pub use controller::Controller;
pub use passthrough::Passthrough;
pub use policy::{Action, Descriptor, Event, Outcome, Policy, Status};
pub use suspects::Suspects;
