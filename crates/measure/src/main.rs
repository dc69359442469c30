//! Performance measurements of the system: `cargo measure NAME`.
//!
//! Each measurement is seeded, defines its own targets and compares with baselines in the same run.

mod latency;
mod load;
mod once;
mod peer;
mod simulation;
mod skew;
mod slopes;
mod switch;
mod zone;

use std::process::ExitCode;

use clap::{Arg, Command, value_parser};
use futures::future::BoxFuture;

/// Name, help text and function of a measurement; the argument is the seed.
type Measurement = (
    &'static str,
    &'static str,
    fn(u64) -> BoxFuture<'static, anyhow::Result<()>>,
);

const MEASUREMENTS: &[Measurement] = &[
    (
        "latency",
        "Latency that entry and agent add to a direct call of the engine, memory and idle CPU time",
        latency::run,
    ),
    (
        "load",
        "Overload, with one large team and small ones",
        load::run,
    ),
    (
        "once",
        "Cost of at-most-once execution, and share of unknown outcomes",
        |seed| Box::pin(once::run(seed)),
    ),
    (
        "peer",
        "Cost of the control plane for each node, and time until a change is in force",
        peer::run,
    ),
    (
        "skew",
        "Skew of expert maps and bytes of weights moved; draws docs/skew.svg",
        skew::run,
    ),
    (
        "slopes",
        "Costs for each link, team, endpoint, change, record, event and request",
        slopes::run,
    ),
    (
        "switch",
        "Switches of expert maps while engines and agents are killed and paused",
        switch::run,
    ),
    (
        "zone",
        "Service while an availability zone is taken out and returns",
        zone::run,
    ),
];

#[tokio::main]
async fn main() -> ExitCode {
    let seed = Arg::new("seed")
        .long("seed")
        .default_value("1")
        .value_parser(value_parser!(u64))
        .help("Seed of the random number generators");
    let mut command = Command::new("measure")
        .about("Measures the performance of the system")
        .subcommand_required(true)
        .arg(seed.global(true));
    for (name, about, _) in MEASUREMENTS {
        command = command.subcommand(Command::new(name).about(about));
    }
    let matches = command.get_matches();
    let seed = matches.get_one("seed").copied().unwrap_or(1);
    let run = MEASUREMENTS
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
