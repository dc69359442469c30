use serde::{Deserialize, Serialize};

use crate::{Fence, Map, Order, Report, State};

/// Message of a leader to a member, the body of a [`wire::Order`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Request {
    /// Order for the member's engine.
    pub order: Order,
    /// Content of the map that the order names, if the engine has to load it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<Map>,
    /// Whether the answer includes the map in force and the counters.
    #[serde(default)]
    pub detail: bool,
}

/// Message of a member to its leader, the body of a [`wire::Report`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Answer {
    /// Result of the order.
    pub report: Report,
    /// Map in force and counters, if the request asks for them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub detail: Option<Detail>,
}

/// Map and token counters of an engine.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Detail {
    /// Content of the map in force, `None` for the map that engines start with.
    pub content: Option<Map>,
    /// Tokens routed to each expert on the engine's ranks since its start, layer by layer.
    pub counters: Vec<Option<i64>>,
}

/// Message of an agent to its engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Instruction {
    /// Fencing token of the leader's round.
    pub fence: Fence,
    /// Command to carry out.
    pub command: crate::Command,
    /// Content of the map that the command names, if the engine has to load it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<Map>,
}

/// Answer of an engine to an instruction.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Outcome {
    /// Whether the command took effect, now or earlier.
    pub done: bool,
    /// State of the engine after the command.
    pub state: State,
}
