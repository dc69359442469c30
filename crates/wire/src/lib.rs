//! Messages between the processes of the system, and the links that carry them.
//!
//! Each pair of processes shares one QUIC connection. Streams whose first byte is
//! [`Purpose::Control`] carry `tarpc`; streams that begin with [`Purpose::Work`] carry one attempt
//! at one request as [`Frame`]s towards the agent and [`Reply`]s back.

mod control;
mod frame;
mod link;
mod offer;
mod order;
mod stream;
mod tls;
mod trial;

pub use control::{
    Control, ControlClient, Handler, Heartbeat, Hint, Member, Role, Suspect, Watcher,
};
pub use frame::{CHUNK_LIMIT, Checksum, Frame, Head, Header, Reply};
pub use link::{Link, Listener, Purpose, Streams};
pub use offer::{Attempt, Fingerprint, Key, Offer, Owner, Request, Token, Verdict};
pub use order::{Map, Order, Report, Step};
pub use stream::{Receiver, Sender};
pub use tls::Tls;
pub use trial::{Authority, Certificate};
