use serde::{Deserialize, Serialize};
use wire::{Map, Step};

use crate::Fence;

/// Number that changes at each start of an engine.
pub type Boot = u64;

/// Map that an engine goes over to at a step.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Next {
    /// The map.
    pub map: Map,
    /// First step that uses it; the engine holds before that step until the switch is decided.
    pub at: Step,
    /// Whether the switch is decided.
    pub committed: bool,
}

/// What an engine that steps with its group is doing.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Place {
    /// Round in which the group was started; ranks of different ones never step together.
    pub epoch: Fence,
    /// Step that was entered last.
    pub step: Step,
    /// Map of that step.
    pub map: Map,
    /// Map to go over to.
    #[serde(rename = "next")]
    pub next: Option<Next>,
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
    pub seen: Map,
    /// Map whose weights are loaded besides those in use.
    pub prepared: Option<Map>,
    /// Place in the group, `None` while cold.
    #[serde(rename = "place")]
    pub place: Option<Place>,
}

/// What an order tells an engine to do.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Command {
    /// Report the state.
    #[serde(rename = "ask")]
    Ask,
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
    /// Step with the group from a place on; for cold engines only.
    Join {
        /// Place of the group; its step is the first to enter.
        #[serde(rename = "place")]
        place: Place,
    },
}

impl Command {
    fn map(&self) -> Map {
        match self {
            Command::Ask => 0,
            Command::Prepare { map }
            | Command::Arm { map, .. }
            | Command::Commit { map }
            | Command::Abort { map } => *map,
            Command::Join { place } => place.next.map_or(place.map, |next| next.map.max(place.map)),
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
    pub fn order(&mut self, fence: Fence, command: Command) -> bool {
        if self.fenced {
            if fence < self.state.fence {
                return false;
            }
            self.state.fence = fence;
        }
        let done = self.carry_out(command);
        if done {
            self.state.seen = self.state.seen.max(command.map());
        }
        done
    }

    fn carry_out(&mut self, command: Command) -> bool {
        if let Command::Join { place } = command {
            return self.join(place);
        }
        let (prepared, seen) = (self.state.prepared, self.state.seen);
        let Some(place) = &mut self.state.place else {
            return command == Command::Ask;
        };
        match command {
            Command::Ask => true,
            Command::Prepare { map } if prepared == Some(map) => true,
            Command::Prepare { map } => {
                let fresh = map > seen && place.next.is_none();
                if fresh {
                    self.state.prepared = Some(map);
                }
                fresh
            }
            Command::Arm { map, at } => arm(place, prepared, map, at),
            Command::Commit { map } => commit(place, map),
            Command::Abort { map } => abort(place, map),
            Command::Join { .. } => false,
        }
    }

    fn join(&mut self, place: Place) -> bool {
        if self.state.place.is_some() {
            return false;
        }
        let step = place.step.saturating_sub(1);
        self.state.place = Some(Place { step, ..place });
        true
    }

    /// Returns the step to enter next and its map; `None` while cold or held.
    #[must_use]
    pub fn ready(&self) -> Option<(Step, Map)> {
        let place = self.state.place?;
        let step = place.step + 1;
        match place.next {
            Some(next) if next.at <= step => next.committed.then_some((step, next.map)),
            _ => Some((step, place.map)),
        }
    }

    /// Enters the next step; returns it and its map, or `None` while cold or held.
    pub fn enter(&mut self) -> Option<(Step, Map)> {
        let (step, map) = self.ready()?;
        let place = self.state.place.as_mut()?;
        place.next = place.next.filter(|next| next.at > step);
        place.step = step;
        place.map = map;
        Some((step, map))
    }
}

fn arm(place: &mut Place, prepared: Option<Map>, map: Map, at: Step) -> bool {
    if let Some(next) = place.next {
        return next.map == map && next.at == at;
    }
    if prepared != Some(map) || map <= place.map || at <= place.step {
        return false;
    }
    place.next = Some(Next {
        map,
        at,
        committed: false,
    });
    true
}

fn commit(place: &mut Place, map: Map) -> bool {
    match &mut place.next {
        Some(next) if next.map == map => {
            next.committed = true;
            true
        }
        _ => place.map == map,
    }
}

fn abort(place: &mut Place, map: Map) -> bool {
    match place.next {
        Some(next) if next.map == map && next.committed => false,
        Some(next) if next.map == map => {
            place.next = None;
            true
        }
        _ => place.map != map,
    }
}
