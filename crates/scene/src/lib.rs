//! Deterministic simulation of scripted scenarios, for tests of the decision code.
//!
//! [`parse`] reads a [`Script`] from a line-based language. [`run`] simulates it with a virtual
//! clock and in-memory fakes of processes, links, engines and the platform; the decisions are made
//! by the crates `route`, `gate`, `once` and `conf`. The same script gives the same timeline, byte
//! for byte.

mod agent;
mod check;
mod components;
mod engine;
mod entry;
mod grammar;
mod link;
mod parse;
mod script;
mod simulation;
mod step;

pub use components::Components;
pub use parse::{Error, parse};
pub use script::{Assertion, Batch, Engine, Expectation, Script, Step, Window};
pub use simulation::{Report, run};
