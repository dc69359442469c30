//! Tests of the operators' command line.

mod offline_commands;
