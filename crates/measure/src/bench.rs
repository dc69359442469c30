//! A bench for the real policies of entries and agents: in one thread, on a clock of its own,
//! over small stand-ins for engines. Messages take a millisecond; heartbeats come twice a second.

mod engine;
mod plan;
mod tally;
mod world;

pub(crate) use plan::{Demand, Outage, Plan, Policies, Team, capacity};
pub(crate) use tally::{Tally, Window};
pub(crate) use world::World;
