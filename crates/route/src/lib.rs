//! The choice of an endpoint for each attempt at a request, made by an entry.
//!
//! A [`Policy`] is a pure decision: it takes events and the time and returns actions.

mod affinity;
mod balancer;
mod budget;
mod call;
mod choice;
mod health;
mod policy;
mod router;
mod subset;

pub use balancer::{Balancer, Strategy};
pub use policy::{Action, Descriptor, Event, Policy};
pub use router::Router;
pub use subset::select_subset;
