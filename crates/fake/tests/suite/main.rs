//! Tests of the real processes over stand-ins.

mod command_line;
mod config_spread;
mod graceful_shutdown;
mod limits;
mod map_switches;
mod metric_page;
mod plain_path;
mod refused_calls;
mod run_once;
mod secret_logs;
mod time_line;
mod whole_answers;
