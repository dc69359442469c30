use conf::id;
use serde::{Deserialize, Serialize};

use crate::{Command, Fence, State};

/// Order of a group's leader to one of its members, and the answer's address.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Order {
    /// Fencing number of the leader's round.
    pub fence: Fence,
    /// Life of the member's agent that the order is for; any if `None`.
    #[serde(rename = "life")]
    pub incarnation: Option<id::Incarnation>,
    /// What to do.
    pub command: Command,
}

/// Answer of a member to an order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Report {
    /// Fencing number of the order.
    pub fence: Fence,
    /// Command of the order: a late answer to an earlier one of the round must not pass for it.
    pub command: Command,
    /// Highest fencing number that the member has seen.
    pub highest: Fence,
    /// Life of the member's agent.
    #[serde(rename = "life")]
    pub incarnation: id::Incarnation,
    /// Whether what the order asks for is now so.
    pub done: bool,
    /// State of the member's engine after the order.
    pub state: State,
}

/// Guards an engine: passes on only orders of the newest round, meant for this life of the agent.
///
/// Engines that ignore fencing numbers are safe behind it, for nobody else gives them orders.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Follower {
    life: id::Incarnation,
    highest: Fence,
}

impl Follower {
    /// Creates the guard of one life of an agent.
    #[must_use]
    pub fn new(life: id::Incarnation) -> Self {
        Self {
            life,
            highest: Fence::default(),
        }
    }

    /// Returns the highest fencing number seen.
    #[must_use]
    pub fn highest(&self) -> Fence {
        self.highest
    }

    /// Decides whether an order may go to the engine, whose state was read just before.
    ///
    /// A leader must ask first: only an answer of this life names it, so what was sent to an
    /// earlier life, whose highest number is forgotten, is refused.
    pub fn admit(&mut self, order: &Order, state: &State) -> bool {
        self.highest = self.highest.max(state.fence);
        let known = match order.incarnation {
            Some(life) => life == self.life,
            None => order.command == Command::Query,
        };
        if !known || order.fence < self.highest {
            return false;
        }
        self.highest = order.fence;
        true
    }

    /// Makes the report on an order.
    #[must_use]
    pub fn report(&self, order: &Order, done: bool, state: State) -> Report {
        Report {
            fence: order.fence,
            command: order.command,
            highest: self.highest,
            incarnation: self.life,
            done,
            state,
        }
    }
}
