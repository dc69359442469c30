//! At most one run for each idempotency key, and verification that answers are complete.

mod buffer;
mod issued;
mod ledger;
mod owner;
mod records;
mod verifier;

pub use buffer::{Buffer, Cursor, Item};
pub use issued::IssuedKey;
pub use ledger::{Answer, Decision, Ledger, Reservation, Usage};
pub use owner::{Owners, Ownership, owner};
pub use records::{Bounds, Records};
pub use verifier::{Piece, Verifier};
