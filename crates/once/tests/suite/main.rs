//! Tests of the crate `once`.

mod whole_answers;
