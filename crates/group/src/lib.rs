//! What entries know of lock-step groups of engines: which engines form a group, and whether it serves.
//!
//! Agents read the state of the group of their own engine and send it to entries as [`Datagram`]s;
//! entries pass on what is new and keep it in a [`Directory`].

mod datagram;
mod directory;
mod status;

pub use datagram::{Datagram, MAX_BYTES, MAX_ENTRIES};
pub use directory::Directory;
pub use status::{Epoch, Key, Name, Status};
