//! What entries know of lock-step groups of engines: which engines form a group, and whether it serves.
//!
//! Agents read the state of the group of their own engine and send it to entries as [`Datagram`]s;
//! entries pass on what is new and keep it in a [`Directory`]. In their answers entries tell agents what they refuse, which an
//! agent keeps in a [`Memory`] for entries that start after all others have ended.

mod datagram;
mod directory;
mod memory;
mod refusal;
mod socket;
mod status;

pub use datagram::{Datagram, MAX_BYTES, MAX_ENTRIES};
pub use directory::Directory;
pub use memory::Memory;
pub use refusal::{MAX_REFUSALS, REFUSAL_TIME, Refusal, Refusals, Subject};
pub use socket::Socket;
pub use status::{Epoch, Key, Name, Status};
