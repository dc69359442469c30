//! Command line for operators, which queries the processes of a fleet but changes nothing in them.

mod check;
mod command;
mod diff;
mod explain;
mod fetch;
mod filter;
mod keys;
mod line;
mod recovery;
mod report;
mod status;
mod story;
mod timeline;
mod trace;
mod verdict;
mod wait;

pub use command::{command, report, run};
pub use diff::list_changes;
pub use explain::explain;
pub use filter::Filter;
pub use line::{Line, find_gaps};
pub use recovery::{Day, Recovery, Shortfall, Trouble, Window};
pub use report::{Code, Report, file_arg, format_arg, read_file};
pub use story::select_lines;
pub use timeline::merge;
pub use trace::trace;
