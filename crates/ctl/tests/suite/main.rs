//! Tests of the command line for operators.

mod offline_commands;
mod request_story;
mod time_line;
