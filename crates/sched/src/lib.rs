//! Decisions of an entry under load: which requests are admitted, and in which zone they run.
//!
//! Nothing here does I/O or reads a clock: callers pass the time, and random numbers where one is needed.

mod forecast;
mod partition;
mod rank;

pub use forecast::Forecast;
pub use partition::Partition;
pub use rank::{Rank, Ranks};
