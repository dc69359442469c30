//! Error kinds of requests, and the HTTP response for each.
//!
//! Every error response to a client is built from a [`Fault`]. Its [`ErrorKind`] alone determines
//! the HTTP status, the problem type and the advice on retries; it also determines whether the
//! request may have run, unless the fault says that this is unknown.

mod kind;
mod problem;
mod response;

pub use kind::ErrorKind;
pub use problem::{Fault, PROBLEM_TYPE, Problem};
pub use response::{Response, Retry, Run};
