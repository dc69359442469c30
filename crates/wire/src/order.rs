use conf::id;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Number of a step of a lock-step group.
pub type Step = u64;

/// Number of an expert map within its group; 0 is the map that engines start with.
pub type Map = u64;

/// Order to the engine beside an agent, given by the group's leader.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Order {
    /// Group that the order is for.
    pub group: id::Group,
    /// Process that gives the order.
    pub leader: id::Process,
    /// Fencing number; orders with a lower one than seen before are refused.
    pub fence: u128,
    /// What to do, in the terms of the area crate that sent it.
    pub body: SmolStr,
}

/// Answer to an order: the state of the agent's ranks.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// Highest fencing number seen.
    pub fence: u128,
    /// Whether the order was carried out.
    pub done: bool,
    /// State, in the terms of the area crate that asked.
    pub body: SmolStr,
}
