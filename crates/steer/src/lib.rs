//! An agent beside a model engine that keeps its group's expert map even.
//!
//! Each agent reads its own engine and carries out orders there. The agent beside the first rank
//! leads: [`Lead`] plans placements from what the ranks count, and [`Switch`] takes the group over
//! to them without two ranks ever stepping with different maps. If an agent falls silent meanwhile,
//! another completes the change ([`Finish`]). [`Engine`] is the port to engines.

mod beacon;
mod crew;
mod engine;
mod finish;
mod lead;
mod member;
mod metrics;
mod rescue;
mod run;
mod settings;
mod switch;
mod tally;

pub use engine::{
    Connector, Counts, Engine, Epoch, Group, List, Lists, Order, Pass, Reply, Report, Version,
};
pub use finish::{Decision, Finish};
pub use lead::{Instructions, Lead, Tuning};
pub use member::{Status, digest};
pub use run::run;
pub use settings::{Listen, Settings};
pub use switch::{Phase, Switch};
pub use tally::{Sample, Tally};
