//! The closed list of error kinds and the table from kind to answer.
//!
//! Every refusal that a caller sees is made from a [`Fault`]; its [`ErrorKind`] alone decides the
//! HTTP status, the problem type, and what is said about whether the request was run.

mod kind;
mod problem;
mod response;

pub use kind::ErrorKind;
pub use problem::{Fault, PROBLEM_TYPE, Problem};
pub use response::{Response, Retry, Run};
