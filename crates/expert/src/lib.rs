//! Expert maps of lock-step groups: which rank holds which expert, and how a group changes that.
//!
//! [`Planner`] decides from [`Popularity`] whether another [`Map`] is worth its cost. A [`Leader`]
//! takes a group over to it in one step; a [`Follower`] at each agent guards the engine.

mod balance;
mod error;
mod fence;
mod follower;
mod fresh;
mod layer;
mod leader;
mod map;
mod message;
mod planner;
mod popularity;
mod rank;
mod search;
mod shape;

pub use balance::{Balancer, Change, Limits, Placement};
pub use error::{Error, ErrorKind};
pub use fence::Fence;
pub use follower::{Follower, Order, Report};
pub use leader::{Action, Leader, Member};
pub use map::Map;
pub use message::{Answer, Detail, Instruction, Outcome, Request};
pub use planner::{Cost, Plan, Planner};
pub use popularity::Popularity;
pub use rank::{Boot, Command, Position, Rank, State, Switch};
pub use shape::{Shape, Speed, VACANT};
