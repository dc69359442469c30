//! Expert maps of groups whose ranks step together: which rank holds which experts, and how a group
//! switches to another map.
//!
//! [`Planner`] decides from [`Popularity`] whether another [`Map`] is worth its cost; [`Balancer`]
//! does so for engines that split an expert's tokens evenly. A [`Leader`] switches a group to another
//! map at one step, by two-phase commit. A [`Follower`] in each agent keeps
//! outdated orders from its engine.

mod balance;
mod error;
mod fence;
mod follower;
mod greedy;
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
