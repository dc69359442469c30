//! Stand-ins for what surrounds the system, and a harness that runs real processes against them.
//!
//! Nothing here is shipped.

mod caller;
mod engine;
mod fleet;
mod http;
mod platform;
mod process;
mod relay;
mod service;

pub use caller::{Answer, Caller};
pub use engine::{Behaviour, Engine, draft};
pub use fleet::{Fleet, KEY, Plan};
pub use platform::{Mode, Platform, publish};
pub use process::{Process, Signal, Usage, build, program};
pub use relay::{Flow, Relay};
pub use service::Service;
