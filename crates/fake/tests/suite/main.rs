//! Tests of the real processes over stand-ins.

mod metric_page;
mod plain_path;
mod refused_calls;
mod time_line;
