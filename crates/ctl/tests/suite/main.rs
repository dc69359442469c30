//! Tests of the operators' command line.

mod time_line;
