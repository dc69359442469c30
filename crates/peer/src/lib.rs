//! Membership of the fleet: who is known, reachable, leaving, and who watches the platform.

mod choose;
mod election;
mod members;
mod neighbours;
mod table;

pub use choose::{Candidate, choose};
pub use election::Election;
pub use members::Members;
pub use neighbours::Neighbours;
pub use table::{Change, State, Table};
