//! The cases.

mod crashing;
mod foreign;
mod lull;
mod memory;
mod parts;
mod starve;

use crate::{Setup, Verdict};

/// Runs a case by its name; `None` if there is none of that name.
pub fn run(case: &str, setup: &Setup) -> Option<Verdict> {
    Some(match case {
        "foreign" => foreign::run(setup),
        "lull" => lull::run(setup),
        "memory" => memory::run(setup),
        "parts" => parts::run(setup),
        "starve" => starve::run(setup),
        _ => return None,
    })
}
