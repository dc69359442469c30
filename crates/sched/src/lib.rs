//! Decisions of an entry under load: which requests are admitted, and in which zone they run.
//!
//! Nothing here does I/O or reads a clock: callers pass the time, and random numbers where one is needed.

mod admission;
mod forecast;
pub mod latency;
mod locality;
mod partition;
mod rank;
mod share;
mod trend;

pub use admission::{Admission, Demand, Outranked, Refusal, Request};
pub use forecast::{Forecast, Load};
pub use latency::Latency;
pub use locality::{Balance, Decision, Locality};
pub use partition::Partition;
pub use rank::{Rank, Ranks};
pub use share::Shares;
