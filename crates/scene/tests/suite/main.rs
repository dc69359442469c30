//! Tests of the scenario language and of the scenarios in `scenes`.

mod scene_files;
mod script_errors;
mod without_rule;
