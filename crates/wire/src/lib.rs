//! Messages between entries and agents, and the QUIC links that carry them.
//!
//! The first byte of a stream is its [`Purpose`]. A [`Purpose::Control`] stream carries `tarpc` calls
//! of [`Control`]. A [`Purpose::Work`] stream carries one attempt at one request, as [`Frame`]s to the
//! agent and [`Reply`]s to the entry.

mod authority;
mod control;
mod frame;
mod link;
mod offer;
mod order;
mod stream;
mod tls;

pub use authority::{Authority, Certificate};
pub use control::{
    Control, ControlClient, Handler, Heartbeat, Hint, Member, Role, Suspect, Watcher,
};
pub use frame::{CHUNK_LIMIT, Checksum, Frame, Head, Header, Reply};
pub use link::{Link, Listener, Purpose, Streams};
pub use offer::{Attempt, Fingerprint, Key, Offer, Owner, Request, Token, Verdict};
pub use order::{Map, Order, Report, Step};
pub use stream::{Receiver, Sender};
pub use tls::Tls;
