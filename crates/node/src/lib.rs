//! What every process of the system has: links, configuration, health, and an orderly end.

mod base;
mod counts;
mod current;
mod follow;
mod link;
mod listen;
mod member;
mod operator;
mod overlay;
mod platform;
pub mod probe;
pub mod rpc;
mod setup;
mod signal;
mod tune;

pub use base::{Handlers, Node};
pub use current::{Configuration, Watch};
pub use follow::Follower;
pub use link::{Links, Observer};
pub use listen::{Handler, Orders, Work};
pub use member::{Local, Suspicions, incarnation};
pub use operator::{Admin, Parts, Status};
pub use overlay::Overlay;
pub use setup::{Action, Addresses, command, read_settings, report_error, run};
pub use signal::{Shutdown, shutdown_on_signal};
pub use tune::tune;
