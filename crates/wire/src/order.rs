use conf::id;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Number of a step of a group whose ranks run in lock step.
pub type Step = u64;

/// Number of an expert map within its group; 0 is the map that engines start with.
pub type Map = u64;

/// Order of a group's leader to the engine of an agent.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Order {
    /// Group that the order is for.
    pub group: id::Group,
    /// Name of the process that leads the group.
    pub leader: id::Process,
    /// Fencing token; an order with a lower token than an earlier one is refused.
    pub fence: u128,
    /// Instruction, in an encoding that this crate does not interpret.
    pub body: SmolStr,
}

/// Answer to an order, with the state of the agent's ranks.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// Highest fencing token that the agent has seen.
    pub fence: u128,
    /// Whether the order was applied.
    pub done: bool,
    /// State, in an encoding that this crate does not interpret.
    pub body: SmolStr,
}
