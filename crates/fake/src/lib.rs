//! Fake engines, services, platform and clients, and a harness that runs the real programs against
//! them.
//!
//! Only tests, measurements and the demo use this crate; none of it is deployed.

mod barrier;
mod client;
mod engine;
mod fleet;
mod group;
mod http;
mod platform;
mod process;
mod ranks;
mod relay;
mod service;

pub use barrier::{Barrier, Statistics};
pub use client::{Client, Response};
pub use engine::{Behaviour, Engine, expected_draft};
pub use fleet::{Fleet, TEAM_KEY, Topology};
pub use group::Group;
pub use platform::{Mode, Platform, publish, publish_value};
pub use process::{Process, Signal, Usage, build_programs, program_path};
pub use ranks::{Member, Ranks};
pub use relay::{Filter, Relay};
pub use service::Service;
