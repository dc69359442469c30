//! Tests of the scenario language and the scenarios written in it.

mod scene_files;
mod script_errors;
mod without_rule;
