//! Tests of the crate `once`.

mod model_check;
mod owner_change;
mod random_walks;
mod run_records;
mod spec;
mod stream_resume;
mod whole_answers;
