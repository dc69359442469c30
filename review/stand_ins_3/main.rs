//! Stand-ins and scenarios of the third review: a store, servers and clients around the project's own entries.
//!
//! Usage: `stand_in CASE ENTRY_PROGRAM RECORD TROUBLE`, started by `review/CASE/run.sh`. Exit code 0: the rule held,
//! 1: the rule was broken, 2: the case could not run.

mod cases;
mod entry;
mod http;
mod record;
mod store;

use std::{panic, path::PathBuf, process::exit, sync::Arc};

use record::Record;

/// What a case needs to run.
pub struct Setup {
    /// Program of the entry, as built by the deploy file.
    pub program: PathBuf,
    pub record: Arc<Record>,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, program, record, trouble] = &arguments[..] else {
        eprintln!("usage: stand_in CASE ENTRY_PROGRAM RECORD TROUBLE");
        exit(2);
    };
    let setup = Setup {
        program: program.into(),
        record: Record::create(record),
        trouble: trouble != "0",
    };
    let record = setup.record.clone();
    let case = case.clone();
    let result = panic::catch_unwind(panic::AssertUnwindSafe(|| cases::run(&case, &setup)));
    let (line, code) = match result {
        Ok(Some(Verdict::Held)) => ("the rule held", 0),
        Ok(Some(Verdict::Broken)) => ("the rule was broken", 1),
        Ok(None) => ("unknown case", 2),
        Err(_) => ("the case could not run", 2),
    };
    record.line(line);
    println!("{line}");
    exit(code);
}
