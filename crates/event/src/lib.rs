//! The time line of events, and the set-up of logs.

mod line;
mod lines;
mod log;
mod recorder;
mod text;

pub use line::{Event, Kind, Stamp, since_epoch};
pub use lines::start_lines;
pub use log::start as start_log;
pub use recorder::{CAPACITY, MAX_SKEW, Recorder};
