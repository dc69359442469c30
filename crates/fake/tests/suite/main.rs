//! Tests of the real processes over stand-ins.

mod graceful_shutdown;
mod plain_path;
mod refused_calls;
mod run_once;
mod whole_answers;
