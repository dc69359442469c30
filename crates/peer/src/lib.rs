//! Membership of the fleet: who is known, reachable, leaving, and who watches the platform.

mod choose;
mod members;
mod neighbours;
mod table;
mod watch;

pub use choose::{Candidate, choose};
pub use members::Members;
pub use neighbours::Neighbours;
pub use table::{Change, State, Table};
pub use watch::Watch;
