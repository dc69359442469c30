use serde::{Deserialize, Serialize};

use crate::{Fence, Map, Order, Report, State};

/// What an order to a member carries, as the body of a [`wire::Order`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Request {
    /// The order.
    pub order: Order,
    /// Content of the map that the order names, where the engine has to load it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<Map>,
    /// Whether the answer shall hold the map in force and the counters.
    #[serde(default)]
    pub detail: bool,
}

/// What a member answers, as the body of a [`wire::Report`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Answer {
    /// The report.
    pub report: Report,
    /// Details, if they were asked for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub detail: Option<Detail>,
}

/// What an engine says besides its state.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Detail {
    /// Content of the map in force, `None` for the one that engines start with.
    pub content: Option<Map>,
    /// Tokens that the engine's ranks got for each expert, layer by layer, since its start.
    pub counters: Vec<Option<i64>>,
}

/// Order as an agent gives it to its engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Instruction {
    /// Fencing number.
    pub fence: Fence,
    /// What to do.
    pub command: crate::Command,
    /// Content of the map that the command names.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<Map>,
}

/// Engine's answer to an instruction.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Outcome {
    /// Whether what the instruction asks for is now so.
    pub done: bool,
    /// State after it.
    pub state: State,
}
