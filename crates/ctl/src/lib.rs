//! The operators' command line; it reads the fleet and writes nothing to it.

mod command;
mod explain;
mod fetch;
mod filter;
mod keys;
mod line;
mod status;
mod timeline;
mod trace;

pub use command::{command, run};
pub use explain::explain;
pub use filter::Filter;
pub use line::{Line, gaps};
pub use timeline::merge;
pub use trace::trace;
