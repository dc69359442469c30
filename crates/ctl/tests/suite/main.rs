//! Tests of the operators' command line.

mod offline_commands;
mod time_line;
