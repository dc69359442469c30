//! Tests of the real processes over stand-ins.

mod command_line;
mod limits;
mod map_switches;
mod plain_path;
mod refused_calls;
mod secret_logs;
mod time_line;
