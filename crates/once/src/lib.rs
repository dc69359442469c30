//! At most one run for each idempotency key, and whole answers.

mod delivery;
mod ledger;
mod plain;

pub use delivery::{Delivery, Piece};
pub use ledger::{Answer, Ledger, Reserve, Reserved};
pub use plain::Plain;
