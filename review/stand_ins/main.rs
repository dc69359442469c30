//! Stand-ins and cases of the review: `stand-in CASE FOLDER` plays a case and writes FOLDER/record.txt.
//!
//! Exit codes: 0 if the rule held, 1 if it was broken, 2 if the case could not run. With `TROUBLE=0` in the
//! environment the case does the same without the disruption.

mod cold;
mod drain;
mod fleet;
mod forget;
mod http;
mod poison;
mod refusal;
mod server;
mod stale;
mod store;

use std::{env, path::Path, process::ExitCode};

use fleet::Record;
use poison::Crash;

/// Whether a case could run, and then whether the rule was broken.
pub type Verdict = Result<bool, String>;

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let (case, folder) = match arguments.as_slice() {
        [name, rest @ ..] if name == "server" => {
            server::run(rest);
            return ExitCode::SUCCESS;
        }
        [case, folder] => (case.as_str(), Path::new(folder)),
        _ => {
            eprintln!("usage: stand-in CASE FOLDER");
            return ExitCode::from(2);
        }
    };
    let record = Record::new(folder);
    let verdict = match case {
        "cold" => cold::play(has_trouble, &record),
        "stale" => stale::play(has_trouble, &record),
        "forget" => forget::play(has_trouble, &record),
        "refusal" => refusal::play(has_trouble, &record),
        "drain" => drain::play(has_trouble, &record),
        "poison" => poison::play(has_trouble, Crash::AmidStream, &record),
        "poison-plain" => poison::play(has_trouble, Crash::AmidPlainAnswer, &record),
        "poison-before" => poison::play(has_trouble, Crash::BeforeAnswer, &record),
        _ => Err(format!("unknown case {case}")),
    };
    let code = match verdict {
        Ok(is_broken) => {
            record.report(if is_broken { "the rule was broken" } else { "the rule held" });
            u8::from(is_broken)
        }
        Err(reason) => {
            record.report(format!("the case could not run: {reason}"));
            2
        }
    };
    record.save();
    ExitCode::from(code)
}
