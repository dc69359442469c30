//! Limits on the memory and the connections that clients can take from a process.
//!
//! [`conf::Limits`] states what the VM gives the process, and [`Quota`] divides it. Every client connection has a [`Slot`], which
//! covers its buffers and a small message. What a message needs beyond that is taken from [`Memory`] in pieces, as its
//! bytes arrive. If either runs out, the holder that has made no progress for longest gives way; a newcomer does not.

mod answer;
mod connections;
mod denial;
mod exchange;
mod lease;
mod limits;
mod memory;
mod metrics;
mod quota;
mod slot;
mod stream;
mod throttle;

pub use answer::Answer;
pub use connections::Connections;
pub use denial::Denial;
pub use exchange::Exchange;
pub use lease::Lease;
pub use limits::SMALL_MESSAGE_BYTES;
pub use memory::Memory;
pub use quota::Quota;
pub use slot::{Patience, Slot};
pub use stream::{Stream, connect};
