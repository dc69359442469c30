//! Decisions of an entry under load: which requests are admitted, and in which zone they run.
//!
//! Nothing here does I/O or reads a clock: callers pass the time, and random numbers where one is needed.

mod admission;
mod partition;
mod share;
mod trend;

pub use admission::{Admission, Demand, Outranked, Refusal, Request};
pub use partition::Partition;
pub use share::Shares;
