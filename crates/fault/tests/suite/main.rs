//! Tests of the error kinds and their responses.

mod problem_body;
mod response_table;
