//! Decisions of an entry under load: which requests are admitted, and in which zone they run.
//!
//! Nothing here does I/O or reads a clock: callers pass the time, and random numbers where one is needed.

pub mod latency;
mod locality;
mod partition;

pub use latency::Latency;
pub use locality::{Balance, Decision, Locality};
pub use partition::Partition;
