//! The operators' command line; it reads the fleet and writes nothing to it.

mod check;
mod command;
mod diff;
mod fetch;
mod keys;
mod report;
mod status;
mod timeline;
mod verdict;
mod wait;

pub use command::{command, report, run};
pub use report::{Code, Report};
pub use timeline::merge;
