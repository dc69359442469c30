//! Tests of admission control.

mod concurrency_limit;
mod crash_suspects;
mod fair_queue;
mod refusal_reasons;
mod support;
