//! The choice of an endpoint for each attempt at a request, made by an entry.
//!
//! A [`Policy`] is a pure decision: it takes events and the time and returns actions.

mod affinity;
mod budget;
mod call;
mod choice;
mod health;
mod plain;
mod policy;
mod router;
mod subset;

pub use plain::{Order, Plain};
pub use policy::{Action, Ask, Event, Policy};
pub use router::Router;
pub use subset::subset;
