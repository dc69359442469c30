use serde::{Deserialize, Serialize};
use wire::{Map, Step};

use crate::Fence;

/// Identifier of one run of an engine process; each start gives another.
pub type Boot = u64;

/// Pending switch of an engine to another map.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Switch {
    /// Number of the new map.
    pub map: Map,
    /// First step that uses the new map; the engine holds before it until the switch is committed.
    pub at: Step,
    /// Whether the switch is committed.
    pub committed: bool,
}

/// Position of an engine in the steps of its group.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Position {
    /// Fencing token of the round that started the group; ranks of different epochs never step
    /// together.
    pub epoch: Fence,
    /// Last step entered.
    pub step: Step,
    /// Number of the map in force in that step.
    pub map: Map,
    /// Armed or committed switch that has not taken effect yet.
    #[serde(rename = "next")]
    pub pending: Option<Switch>,
}

/// State of an engine's ranks, as the engine itself reports it.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct State {
    /// Run of the engine process.
    pub boot: Boot,
    /// Highest fencing token received, 0 at engines that ignore fencing.
    pub fence: Fence,
    /// Highest map number that an order carried out has named.
    #[serde(rename = "seen")]
    pub highest_map: Map,
    /// Number of the map whose weights are loaded besides those in use.
    pub prepared: Option<Map>,
    /// Position in the group; `None` while the engine is cold, that is, has not joined since its
    /// start.
    #[serde(rename = "place")]
    pub position: Option<Position>,
}

/// Command of an order to an engine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Command {
    /// Report the state.
    #[serde(rename = "ask")]
    Query,
    /// Load the weights of a map.
    Prepare {
        /// Number of the map.
        map: Map,
    },
    /// Hold before a step that has not been entered yet, to use another map from it on.
    Arm {
        /// Number of the prepared map.
        map: Map,
        /// First step of the map.
        at: Step,
    },
    /// Use the armed map from its first step on.
    Commit {
        /// Number of the armed map.
        map: Map,
    },
    /// Drop the armed map and keep the one in force.
    Abort {
        /// Number of the armed map.
        map: Map,
    },
    /// Step with the group from a position on; only cold engines accept it.
    Join {
        /// Position to join at; its step is the first that the engine enters.
        #[serde(rename = "place")]
        position: Position,
    },
}

impl Command {
    /// Returns the highest map number that the command names, 0 if it names none.
    fn highest_map(&self) -> Map {
        match self {
            Command::Query => 0,
            Command::Prepare { map }
            | Command::Arm { map, .. }
            | Command::Commit { map }
            | Command::Abort { map } => *map,
            Command::Join { position } => position
                .pending
                .map_or(position.map, |switch| switch.map.max(position.map)),
        }
    }
}

/// Reference implementation of how an engine's ranks handle orders and steps.
///
/// Simulated engines run it, and the model checker explores it.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Rank {
    state: State,
    fenced: bool,
}

impl Rank {
    /// Creates a cold engine; `fenced` says whether it refuses orders with an outdated fencing
    /// token.
    #[must_use]
    pub fn new(boot: Boot, fenced: bool) -> Self {
        let state = State {
            boot,
            ..State::default()
        };
        Self { state, fenced }
    }

    /// Returns the state as the engine reports it.
    #[must_use]
    pub fn state(&self) -> State {
        self.state
    }

    /// Carries out a command; returns whether it took effect, now or earlier.
    pub fn execute(&mut self, fence: Fence, command: Command) -> bool {
        if self.fenced {
            if fence < self.state.fence {
                return false;
            }
            self.state.fence = fence;
        }
        let done = self.apply(command);
        if done {
            self.state.highest_map = self.state.highest_map.max(command.highest_map());
        }
        done
    }

    fn apply(&mut self, command: Command) -> bool {
        if let Command::Join { position } = command {
            return self.join(position);
        }
        let (prepared, highest_map) = (self.state.prepared, self.state.highest_map);
        let Some(position) = &mut self.state.position else {
            return command == Command::Query;
        };
        match command {
            Command::Query => true,
            Command::Prepare { map } if prepared == Some(map) => true,
            Command::Prepare { map } => {
                let accepted = map > highest_map && position.pending.is_none();
                if accepted {
                    self.state.prepared = Some(map);
                }
                accepted
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

    /// Returns the next step and its map number; `None` while the engine is cold or holds.
    #[must_use]
    pub fn next_step(&self) -> Option<(Step, Map)> {
        let position = self.state.position?;
        let step = position.step + 1;
        match position.pending {
            Some(switch) if switch.at <= step => switch.committed.then_some((step, switch.map)),
            _ => Some((step, position.map)),
        }
    }

    /// Enters the next step; returns it and its map number, or `None` while the engine is cold or
    /// holds.
    pub fn enter(&mut self) -> Option<(Step, Map)> {
        let (step, map) = self.next_step()?;
        let position = self.state.position.as_mut()?;
        position.pending = position.pending.filter(|switch| switch.at > step);
        position.step = step;
        position.map = map;
        Some((step, map))
    }
}

fn arm(position: &mut Position, prepared: Option<Map>, map: Map, at: Step) -> bool {
    if let Some(switch) = position.pending {
        return switch.map == map && switch.at == at;
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
        Some(switch) if switch.map == map => {
            switch.committed = true;
            true
        }
        _ => position.map == map,
    }
}

fn abort(position: &mut Position, map: Map) -> bool {
    match position.pending {
        Some(switch) if switch.map == map && switch.committed => false,
        Some(switch) if switch.map == map => {
            position.pending = None;
            true
        }
        _ => position.map != map,
    }
}
