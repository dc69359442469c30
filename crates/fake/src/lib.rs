//! Stand-ins for what surrounds the system, and a harness that runs real processes against them.
//!
//! Nothing here is shipped.

mod barrier;
mod caller;
mod engine;
mod fleet;
mod group;
mod http;
mod platform;
mod process;
mod ranks;
mod relay;
mod service;

pub use barrier::{Barrier, Steps};
pub use caller::{Answer, Caller};
pub use engine::{Behaviour, Engine, draft};
pub use fleet::{Fleet, KEY, Plan};
pub use group::Group;
pub use platform::{Mode, Platform, publish, publish_text};
pub use process::{Process, Signal, Usage, build, program};
pub use ranks::{Part, Ranks};
pub use relay::{Flow, Relay};
pub use service::Service;
