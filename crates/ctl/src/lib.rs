//! The operators' command line; it reads the fleet and writes nothing to it.

mod check;
mod command;
mod diff;
mod explain;
mod fetch;
mod filter;
mod keys;
mod line;
mod report;
mod status;
mod story;
mod timeline;
mod trace;
mod verdict;
mod wait;

pub use command::{command, report, run};
pub use explain::explain;
pub use filter::Filter;
pub use line::{Line, gaps};
pub use report::{Code, Report};
pub use story::story;
pub use timeline::merge;
pub use trace::trace;
