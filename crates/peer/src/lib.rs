//! Cluster membership: known processes and their state, links to peers, and the election of
//! platform watchers.

mod choose;
mod election;
mod members;
mod neighbours;
mod table;

pub use choose::{Candidate, choose};
pub use election::{Election, WATCHERS_PER_ZONE};
pub use members::Members;
pub use neighbours::Neighbours;
pub use table::{Change, State, Table};
