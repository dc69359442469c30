use serde::{Deserialize, Serialize};
use wire::{Map, Step};

use crate::Fence;

/// Number that changes at each start of an engine.
pub type Boot = u64;

/// Map that an engine goes over to at a step.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Switch {
    /// The map.
    pub map: Map,
    /// First step that uses it; the engine holds before that step until the switch is decided.
    pub at: Step,
    /// Whether the switch is decided.
    pub committed: bool,
}

/// What an engine that steps with its group is doing.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Position {
    /// Round in which the group was started; ranks of different ones never step together.
    pub epoch: Fence,
    /// Step that was entered last.
    pub step: Step,
    /// Map of that step.
    pub map: Map,
    /// Map to go over to.
    #[serde(rename = "next")]
    pub pending: Option<Switch>,
}

/// State of an engine's ranks, as the engine itself reports it.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct State {
    /// Life of the engine.
    pub boot: Boot,
    /// Highest fencing number seen, 0 at engines that ignore them.
    pub fence: Fence,
    /// Highest number of a map that any order named.
    #[serde(rename = "seen")]
    pub highest_map: Map,
    /// Map whose weights are loaded besides those in use.
    pub prepared: Option<Map>,
    /// Position in the group, `None` while cold.
    #[serde(rename = "place")]
    pub position: Option<Position>,
}

/// What an order tells an engine to do.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Command {
    /// Report the state.
    #[serde(rename = "ask")]
    Query,
    /// Load the weights of a map.
    Prepare {
        /// The map.
        map: Map,
    },
    /// Hold before a step that was not entered yet.
    Arm {
        /// Prepared map.
        map: Map,
        /// The step.
        at: Step,
    },
    /// Use the armed map from its step on.
    Commit {
        /// Armed map.
        map: Map,
    },
    /// Forget the armed map and go on with the old one.
    Abort {
        /// Armed map.
        map: Map,
    },
    /// Step with the group from a position on; for cold engines only.
    Join {
        /// Position of the group; its step is the first to enter.
        #[serde(rename = "place")]
        position: Position,
    },
}

impl Command {
    fn map(&self) -> Map {
        match self {
            Command::Query => 0,
            Command::Prepare { map }
            | Command::Arm { map, .. }
            | Command::Commit { map }
            | Command::Abort { map } => *map,
            Command::Join { position } => position
                .pending
                .map_or(position.map, |next| next.map.max(position.map)),
        }
    }
}

/// Reference behaviour of an engine's ranks towards orders and steps.
///
/// Stand-in engines run it, and the specification of the switch is checked against it.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Rank {
    state: State,
    fenced: bool,
}

impl Rank {
    /// Creates a cold engine; `fenced` if it refuses old fencing numbers.
    #[must_use]
    pub fn new(boot: Boot, fenced: bool) -> Self {
        let state = State {
            boot,
            ..State::default()
        };
        Self { state, fenced }
    }

    /// Returns the state.
    #[must_use]
    pub fn state(&self) -> State {
        self.state
    }

    /// Carries out an order; returns whether what it asks for is now so.
    pub fn execute(&mut self, fence: Fence, command: Command) -> bool {
        if self.fenced {
            if fence < self.state.fence {
                return false;
            }
            self.state.fence = fence;
        }
        let done = self.carry_out(command);
        if done {
            self.state.highest_map = self.state.highest_map.max(command.map());
        }
        done
    }

    fn carry_out(&mut self, command: Command) -> bool {
        if let Command::Join { position } = command {
            return self.join(position);
        }
        let (prepared, seen) = (self.state.prepared, self.state.highest_map);
        let Some(position) = &mut self.state.position else {
            return command == Command::Query;
        };
        match command {
            Command::Query => true,
            Command::Prepare { map } if prepared == Some(map) => true,
            Command::Prepare { map } => {
                let fresh = map > seen && position.pending.is_none();
                if fresh {
                    self.state.prepared = Some(map);
                }
                fresh
            }
            Command::Arm { map, at } => arm(position, prepared, map, at),
            Command::Commit { map } => commit(position, map),
            Command::Abort { map } => abort(position, map),
            Command::Join { .. } => false,
        }
    }

    fn join(&mut self, position: Position) -> bool {
        if self.state.position.is_some() {
            return false;
        }
        let step = position.step.saturating_sub(1);
        self.state.position = Some(Position { step, ..position });
        true
    }

    /// Returns the step to enter next and its map; `None` while cold or held.
    #[must_use]
    pub fn next_step(&self) -> Option<(Step, Map)> {
        let position = self.state.position?;
        let step = position.step + 1;
        match position.pending {
            Some(next) if next.at <= step => next.committed.then_some((step, next.map)),
            _ => Some((step, position.map)),
        }
    }

    /// Enters the next step; returns it and its map, or `None` while cold or held.
    pub fn enter(&mut self) -> Option<(Step, Map)> {
        let (step, map) = self.next_step()?;
        let position = self.state.position.as_mut()?;
        position.pending = position.pending.filter(|next| next.at > step);
        position.step = step;
        position.map = map;
        Some((step, map))
    }
}

fn arm(position: &mut Position, prepared: Option<Map>, map: Map, at: Step) -> bool {
    if let Some(next) = position.pending {
        return next.map == map && next.at == at;
    }
    if prepared != Some(map) || map <= position.map || at <= position.step {
        return false;
    }
    position.pending = Some(Switch {
        map,
        at,
        committed: false,
    });
    true
}

fn commit(position: &mut Position, map: Map) -> bool {
    match &mut position.pending {
        Some(next) if next.map == map => {
            next.committed = true;
            true
        }
        _ => position.map == map,
    }
}

fn abort(position: &mut Position, map: Map) -> bool {
    match position.pending {
        Some(next) if next.map == map && next.committed => false,
        Some(next) if next.map == map => {
            position.pending = None;
            true
        }
        _ => position.map != map,
    }
}
