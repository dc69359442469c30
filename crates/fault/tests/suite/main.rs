//! Tests of the crate `fault`.

mod answer_table;
mod problem_body;
