use std::process::ExitCode;

use clap::{ArgMatches, Command};

use crate::{check, diff, keys, recovery, report::Report, status, story, timeline, verdict, wait};

/// Returns the command line with all subcommands.
#[must_use]
pub fn command() -> Command {
    Command::new("apricot-ctl")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Queries a fleet, validates its configuration, and generates keys for testing")
        .after_help("Exit codes:\n  0  success\n  1  failed, or a process could not be reached\n  2  invalid arguments\n  4  configuration rejected, processes disagree, or service was not back\n  5  timed out")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands([
            check::command(),
            diff::command(),
            keys::command(),
            recovery::command(),
            status::command(),
            story::command(),
            timeline::command(),
            verdict::command(),
            wait::command(),
        ])
}

/// Runs the subcommand of a parsed command line, prints its output and returns the exit code.
///
/// # Errors
///
/// Returns an error that says what the subcommand failed to read, write or reach.
pub async fn run(matches: &ArgMatches) -> anyhow::Result<ExitCode> {
    match matches.subcommand() {
        Some(("keys", matches)) => keys::run(matches),
        Some(("story", matches)) => story::run(matches),
        Some(("timeline", matches)) => timeline::run(matches).await,
        Some((_, sub_matches)) => {
            let report = report(matches).await?;
            report.print(sub_matches);
            Ok(report.code.into())
        }
        None => anyhow::bail!("missing subcommand"),
    }
}

/// Runs a subcommand that produces a [`Report`], and returns it without printing it.
///
/// # Errors
///
/// Returns an error that says what the subcommand failed to read, write or reach.
pub async fn report(matches: &ArgMatches) -> anyhow::Result<Report> {
    match matches.subcommand() {
        Some(("check", matches)) => check::report(matches),
        Some(("diff", matches)) => diff::report(matches),
        Some(("recovery", matches)) => recovery::report(matches),
        Some(("status", matches)) => status::report(matches).await,
        Some(("verdict", matches)) => verdict::report(matches).await,
        Some(("wait", matches)) => wait::report(matches).await,
        _ => anyhow::bail!("the subcommand produces no report"),
    }
}
