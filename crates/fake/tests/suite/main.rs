//! Tests of the real processes over stand-ins.

mod map_switches;
mod plain_path;
mod refused_calls;
