//! Routing: the selection of an endpoint for each attempt at a request, made by an entry.
//!
//! A [`Policy`] does no I/O and reads no clock: it takes events and the time and returns actions.

mod affinity;
mod balancer;
mod call;
mod health;
mod policy;
mod quota;
mod router;
mod selector;
mod subset;

pub use balancer::{Balancer, Strategy};
pub use policy::{Action, Descriptor, Event, Policy};
pub use router::Router;
pub use subset::select_subset;
