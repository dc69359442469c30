//! Agent of a model engine that balances the expert map of the engine's group.
//!
//! Each agent reads its own engine and sends it orders. The agent of the first rank leads: [`Leader`]
//! plans placements from the counts of the ranks, and [`Switch`] moves the group to a new placement
//! such that two ranks never run a pass with different maps. If an agent stops responding during a
//! change, another one completes it ([`Takeover`]). [`Engine`] is the interface to engines.

mod announce;
mod beacon;
mod delta;
mod engine;
mod failover;
mod history;
mod leader;
mod metrics;
mod peers;
mod popularity;
mod relief;
mod run;
mod settings;
mod switch;
mod takeover;
mod worker;

pub use delta::{Delta, normalized};
pub use engine::{
    Connector, Counts, Engine, Epoch, Group, List, Lists, Order, Pass, Reply, Report, Version,
};
pub use leader::{Instructions, Leader, Tuning};
pub use popularity::{Popularity, Sample};
pub use run::run;
pub use settings::{Listen, Settings};
pub use switch::{Phase, Switch};
pub use takeover::{Decision, Takeover};
pub use worker::{Status, digest};
