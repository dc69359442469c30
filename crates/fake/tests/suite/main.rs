//! Tests of the real processes over stand-ins.

mod config_spread;
mod plain_path;
mod refused_calls;
