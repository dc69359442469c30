//! The operators' command line; it reads the fleet and writes nothing to it.

mod command;
mod fetch;
mod keys;
mod status;
mod timeline;

pub use command::{command, run};
pub use timeline::merge;
