//! Scripted scenarios over the decision code; used by tests only.
//!
//! A [`Script`] is read from a small line language. [`run`] plays it with a virtual clock over
//! in-memory fakes of links, engines and the platform; the decisions are those of the crates
//! `route`, `gate`, `once` and `conf`. The same script gives the same time line, byte for byte.

mod act;
mod agent;
mod check;
mod entry;
mod grammar;
mod link;
mod machine;
mod parse;
mod parts;
mod script;
mod world;

pub use parse::{Error, parse};
pub use parts::Parts;
pub use script::{Act, Claim, Engine, Expect, Script, Send, Window};
pub use world::{Played, run};
