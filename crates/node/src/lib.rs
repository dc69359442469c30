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

pub use base::{Base, Ports};
pub use current::{Current, Watch};
pub use follow::Follow;
pub use link::{Links, Observer};
pub use listen::{Handler, Orders, Work};
pub use member::{Own, Suspicions, incarnation};
pub use operator::{Operator, Parts, Status};
pub use overlay::Overlay;
pub use setup::{Command, Ready, command, fail, settings, start};
pub use signal::{Shutdown, shutdown};
pub use tune::tune;
