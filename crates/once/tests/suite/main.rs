//! Tests of the crate `once`.

mod answer_verification;
mod model_check;
mod owner_change;
mod random_walks;
mod run_records;
mod sample;
mod spec;
mod stream_resume;
