//! Tests of the crate `fault`.

mod problem_body;
mod response_table;
