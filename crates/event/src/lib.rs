//! Event recording with hybrid logical time, and logging setup.

mod display;
mod event;
mod json_log;
mod log;
mod recorder;

pub use event::{Event, Kind, Stamp, since_epoch};
pub use json_log::start_json_log;
pub use log::start as start_log;
pub use recorder::{MAX_EVENTS, MAX_SKEW, Recorder};
