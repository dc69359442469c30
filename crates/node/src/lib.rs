//! Common parts of entry and agent processes: links to peers, configuration replication, the HTTP
//! server for operators, and graceful shutdown.

mod configuration;
mod follow;
mod link;
mod listen;
mod member;
mod metrics;
mod node;
mod operator;
mod overlay;
mod platform;
pub mod probe;
pub mod rpc;
mod setup;
mod signal;
mod socket;

pub use configuration::{Configuration, Watch};
pub use follow::Follower;
pub use link::{Links, Observer};
pub use listen::{Handler, Orders, Work};
pub use member::{Local, Suspicions, new_incarnation};
pub use node::{Handlers, Node};
pub use operator::{Admin, Parts, Status};
pub use overlay::Overlay;
pub use setup::{Action, Addresses, command, read_settings, report_error, run};
pub use signal::{Shutdown, shutdown_on_signal};
pub use socket::configure_socket;
