//! At most one run for each idempotency key, and whole answers.

mod delivery;
mod feed;
mod issue;
mod ledger;
mod owner;
mod records;

pub use delivery::{Delivery, Piece};
pub use feed::{Cursor, Feed, Pull};
pub use issue::Issue;
pub use ledger::{Answer, Ledger, Reserve, Reserved, Usage};
pub use owner::{Claim, Owners, owner};
pub use records::{Bounds, Records};
