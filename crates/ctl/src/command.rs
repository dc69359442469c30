use std::process::ExitCode;

use clap::{ArgMatches, Command};

use crate::{keys, status, timeline};

/// Makes the command line.
#[must_use]
pub fn command() -> Command {
    Command::new("apricot-ctl")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Reads a fleet, checks its configuration, and makes keys for trials")
        .after_help("Exit codes:\n  0  done\n  1  failed, or a process could not be reached\n  2  bad arguments")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands([keys::command(), status::command(), timeline::command()])
}

/// Runs a parsed command line.
///
/// # Errors
///
/// Returns what the subcommand could not do.
pub async fn run(matches: &ArgMatches) -> anyhow::Result<ExitCode> {
    match matches.subcommand() {
        Some(("keys", matches)) => keys::run(matches),
        Some(("status", matches)) => status::run(matches).await,
        Some(("timeline", matches)) => timeline::run(matches).await,
        _ => anyhow::bail!("no such subcommand"),
    }
}
