//! An entry that sends client requests directly to endpoints, without agents in between.
//!
//! [`Balancer`] and the tables that it uses choose the endpoints; they do no I/O, and depend only on
//! the recorded events and the given time. The other modules carry requests, store changes and load
//! reports between clients, endpoints, the platform and other entries. [`Protocol`] is the interface
//! to the platform's HTTP headers, and [`fleet::Source`] that to the platform's store.

mod admission;
mod balancer;
mod blame;
mod body;
pub mod budget;
mod call;
mod caution;
pub mod cold;
mod credit;
mod departures;
mod dispatch;
mod durations;
pub mod events;
mod forward;
mod freshness;
mod gossip;
mod grace;
mod groups;
mod health;
pub mod limits;
mod load;
pub mod metadata;
mod metrics;
mod pauses;
mod pool;
mod protocol;
mod response;
mod restarts;
mod resumption;
mod run;
mod server;
mod settings;
mod stalls;
mod stream;
mod sync;
mod terms;
mod ticks;
mod verdicts;
mod watching;
mod window;

pub use balancer::{Attempt, Balancer, Choice, Comfort, Outcome, Placement, Reading, Spill};
pub use blame::{
    Answered, Blame, Crash, CrashId, Evicted, Fingerprint, News, Part, Subject, Verdict,
};
pub use budget::Budget;
pub use caution::Caution;
pub use departures::{Departures, Incarnation};
pub use durations::Durations;
pub use freshness::Freshness;
pub use grace::Grace;
pub use health::Health;
pub use limits::Limits;
pub use load::{Load, Loads};
pub use pauses::Pauses;
pub use protocol::Protocol;
pub use restarts::{Answer, Loss, Restarts};
pub use run::run;
pub use settings::{Bounds, Listen, Settings};
pub use stalls::Stalls;
