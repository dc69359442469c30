use conf::id;
use serde::{Deserialize, Serialize};

use crate::{Command, Fence, State};

/// Order of a group's leader to one of its members.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Order {
    /// Fencing token of the leader's round.
    pub fence: Fence,
    /// Incarnation of the member's agent that the order is for; `None` for any.
    #[serde(rename = "life")]
    pub incarnation: Option<id::Incarnation>,
    /// Command for the engine.
    pub command: Command,
}

/// Answer of a member to an order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Report {
    /// Fencing token of the order.
    pub fence: Fence,
    /// Command of the order, so that a late answer to an earlier order of the round is told apart.
    pub command: Command,
    /// Highest fencing token that the member has received.
    pub highest: Fence,
    /// Incarnation of the member's agent.
    #[serde(rename = "life")]
    pub incarnation: id::Incarnation,
    /// Whether the order took effect, now or earlier.
    pub done: bool,
    /// State of the member's engine after the order.
    pub state: State,
}

/// Filters the orders to an engine: admits those of the newest round for this incarnation of the
/// agent.
///
/// It protects engines that ignore fencing tokens too, since only their agent sends them orders.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Follower {
    incarnation: id::Incarnation,
    highest: Fence,
}

impl Follower {
    /// Creates the filter of one incarnation of an agent.
    #[must_use]
    pub fn new(incarnation: id::Incarnation) -> Self {
        Self {
            incarnation,
            highest: Fence::default(),
        }
    }

    /// Returns the highest fencing token received.
    #[must_use]
    pub fn highest(&self) -> Fence {
        self.highest
    }

    /// Decides whether an order may go to the engine, whose state was read just before.
    ///
    /// An agent that restarts forgets the highest fencing token. Orders other than a query must
    /// therefore name its incarnation, which a leader learns only from an answer of that
    /// incarnation; orders sent to an earlier one are refused.
    pub fn admit(&mut self, order: &Order, state: &State) -> bool {
        self.highest = self.highest.max(state.fence);
        let addressed = match order.incarnation {
            Some(incarnation) => incarnation == self.incarnation,
            None => order.command == Command::Query,
        };
        if !addressed || order.fence < self.highest {
            return false;
        }
        self.highest = order.fence;
        true
    }

    /// Builds the report on an order.
    #[must_use]
    pub fn report(&self, order: &Order, done: bool, state: State) -> Report {
        Report {
            fence: order.fence,
            command: order.command,
            highest: self.highest,
            incarnation: self.incarnation,
            done,
            state,
        }
    }
}
