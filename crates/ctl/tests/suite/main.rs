//! Tests of the operators' command line.

mod offline_commands;
mod request_story;
mod time_line;
