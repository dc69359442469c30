//! Bodies of HTTP messages that are read into memory, with limits on their bytes and their frames.
//!
//! A limit in bytes alone does not bound the time to read a body: 1 MiB in chunks of 5 bytes is more
//! than 200,000 frames. A [`Meter`] limits what a connection brings apart from parts of messages; a
//! [`Connector`] gives one to each connection of a pooled client. [`is_final`] tells whether a message
//! has a status that a response can end with.

mod allowance;
mod collect;
mod connector;
mod message;
mod metered;
mod status;

pub use allowance::{Allowance, Exceeded, FRAME_BYTES, MIN_FRAMES};
pub use collect::{Error, collect, receive};
pub use connector::{Connector, meter_response};
pub use message::{Message, Outgoing};
pub use metered::{Meter, Metered};
pub use status::is_final;
