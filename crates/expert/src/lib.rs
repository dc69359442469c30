//! Expert maps of lock-step groups: which rank holds which expert, and how a group changes that.
//!
//! [`Planner`] decides from [`Popularity`] whether another [`Map`] is worth its cost.

mod error;
mod fresh;
mod layer;
mod map;
mod planner;
mod popularity;
mod search;
mod shape;

pub use error::{Error, ErrorKind};
pub use map::Map;
pub use planner::{Cost, Plan, Planner};
pub use popularity::Popularity;
pub use shape::{Shape, Speed, VACANT};
