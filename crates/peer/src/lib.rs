//! Membership of the fleet: who is known, reachable, and leaving.

mod members;
mod table;

pub use members::Members;
pub use table::Table;
