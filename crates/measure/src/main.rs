//! Measures the system: `cargo measure NAME`.
//!
//! Each measure is seeded, states its own targets, and compares with baselines in the same run.

mod bench;
mod latency;
mod load;
mod once;
mod peer;
mod skew;
mod slopes;
mod switch;
mod zone;

use std::process::ExitCode;

use clap::{Arg, Command, value_parser};
use futures::future::BoxFuture;

/// A measure: name, what it measures, and how; the argument is the seed.
type Measure = (
    &'static str,
    &'static str,
    fn(u64) -> BoxFuture<'static, anyhow::Result<()>>,
);

/// All measures, by name.
const MEASURES: &[Measure] = &[
    (
        "latency",
        "Latency that the path adds to calling the engine directly, memory and idle processor time",
        latency::run,
    ),
    (
        "load",
        "Overload, with one large team and small ones",
        load::run,
    ),
    (
        "once",
        "Cost of running at most once, and share of unknown outcomes",
        |seed| Box::pin(once::run(seed)),
    ),
    (
        "peer",
        "What control costs a node, and the time until a change is in force",
        peer::run,
    ),
    (
        "skew",
        "Skew of expert maps and bytes of weights moved; draws docs/skew.svg",
        skew::measure,
    ),
    (
        "slopes",
        "What control costs for each link, team, endpoint, change, record, event and request",
        slopes::measure,
    ),
    (
        "switch",
        "Switches of expert maps while engines and agents are ended and paused",
        switch::measure,
    ),
    (
        "zone",
        "Service while an availability zone leaves and returns",
        zone::run,
    ),
];

#[tokio::main]
async fn main() -> ExitCode {
    let seed = Arg::new("seed")
        .long("seed")
        .default_value("1")
        .value_parser(value_parser!(u64))
        .help("Seed of all random choices");
    let mut command = Command::new("measure")
        .about("Measures the system")
        .subcommand_required(true)
        .arg(seed.global(true));
    for (name, about, _) in MEASURES {
        command = command.subcommand(Command::new(name).about(about));
    }
    let matches = command.get_matches();
    let seed = matches.get_one("seed").copied().unwrap_or(1);
    let run = MEASURES
        .iter()
        .find(|(name, ..)| matches.subcommand_name() == Some(name))
        .map(|(.., run)| run);
    match run.map(|run| run(seed)) {
        Some(run) => match run.await {
            Ok(()) => ExitCode::SUCCESS,
            Err(e) => {
                eprintln!("error: {e:#}");
                ExitCode::FAILURE
            }
        },
        None => ExitCode::FAILURE,
    }
}
