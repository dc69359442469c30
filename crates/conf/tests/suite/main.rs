//! Tests of the configuration log, the settings and team keys.

mod log_fold;
mod settings_errors;
mod team_keys;
