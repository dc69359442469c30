//! Tests of the crate `conf`.

mod settings_errors;
mod team_keys;
