//! An entry that sends requests straight to endpoints, without an agent between.
//!
//! [`Desk`] and the tables behind it decide, from events and the time alone; the other modules
//! carry requests, news and load between callers, endpoints, the platform and other entries.
//! [`Protocol`] is the port to the headers of requests and answers; [`fleet::Source`] is that to the
//! platform's store.

mod body;
mod budget;
mod call;
mod cold;
mod desk;
mod events;
mod flight;
mod forward;
mod gossip;
mod health;
mod load;
pub mod metadata;
mod metrics;
mod outlet;
mod protocol;
mod relay;
mod reply;
mod resume;
mod run;
mod server;
mod settings;
mod share;
mod stalls;
mod suspect;
mod sync;

pub use budget::Budget;
pub use cold::Cold;
pub use desk::{Choice, Desk, Outcome, Placement, Send};
pub use events::Splitter;
pub use health::Health;
pub use load::{Load, Loads};
pub use protocol::Protocol;
pub use run::run;
pub use settings::{Bounds, Listen, Settings};
pub use stalls::Stalls;
pub use suspect::{Crash, Fingerprint, Suspects};
