//! Tests of the crate `conf`.

mod log_fold;
mod settings_errors;
mod team_keys;
