//! Discrete-event simulation of entries and agents on virtual time, in one thread.
//!
//! The routing and admission policies are the ones that run in production; engines, clients and
//! the network are models. A message takes 1 ms and each agent sends its load hint to each entry
//! every 500 ms.

mod engine;
mod plan;
mod simulator;
mod summary;

pub(crate) use plan::{Demand, Outage, Plan, Policies, Team, engine_capacity};
pub(crate) use simulator::Simulator;
pub(crate) use summary::{Summary, Window};
