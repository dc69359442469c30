//! Stand-ins of clients, servers and the store for the cases of the second review.

mod cold;
mod configs;
mod fleet;
mod http;
mod ids;
mod leavers;
mod record;
mod restarts;
mod server;
mod store;

use std::{env, fs, path::PathBuf, process::ExitCode};

use record::Record;

/// Result of a case.
#[derive(Clone, Copy, Debug)]
pub enum Outcome {
    Held,
    Broken,
    /// The case could not be played.
    Invalid,
}

/// What a case is played with.
pub struct Trial {
    record: Record,
    /// Temporary folder for settings and logs.
    folder: PathBuf,
    /// Whether the disruption takes place.
    trouble: bool,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let [case, record] = arguments.as_slice() else {
        eprintln!("usage: stand-in CASE RECORD");
        return ExitCode::from(2);
    };
    let folder = env::temp_dir().join(format!("review-2-{case}-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("temporary folder");
    let trial = Trial {
        record: Record::create(&PathBuf::from(record)),
        folder: folder.clone(),
        trouble: env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let play = match case.as_str() {
        "cold" => cold::play,
        "configs" => configs::play,
        "ids" => ids::play,
        "leavers" => leavers::play,
        "restarts" => restarts::play,
        _ => return ExitCode::from(2),
    };
    let outcome = play(&trial);
    trial.record.line(&format!("result: {outcome:?}"));
    let _ = fs::remove_dir_all(folder);
    ExitCode::from(outcome as u8)
}
