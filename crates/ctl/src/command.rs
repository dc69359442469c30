use std::process::ExitCode;

use clap::{ArgMatches, Command};

use crate::{check, diff, keys, report::Report, status, story, timeline, verdict, wait};

/// Makes the command line.
#[must_use]
pub fn command() -> Command {
    Command::new("apricot-ctl")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Reads a fleet, checks its configuration, and makes keys for trials")
        .after_help("Exit codes:\n  0  done\n  1  failed, or a process could not be reached\n  2  bad arguments\n  4  rejected, or processes differ\n  5  not in time")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands([
            check::command(),
            diff::command(),
            keys::command(),
            status::command(),
            story::command(),
            timeline::command(),
            verdict::command(),
            wait::command(),
        ])
}

/// Runs a parsed command line.
///
/// # Errors
///
/// Returns what the subcommand could not do.
pub async fn run(matches: &ArgMatches) -> anyhow::Result<ExitCode> {
    match matches.subcommand() {
        Some(("keys", matches)) => keys::run(matches),
        Some(("story", matches)) => story::run(matches),
        Some(("timeline", matches)) => timeline::run(matches).await,
        Some((_, inner)) => {
            let report = report(matches).await?;
            report.print(inner);
            Ok(report.code.into())
        }
        None => anyhow::bail!("no subcommand"),
    }
}

/// Runs a parsed command line that reports, and returns what it found out.
///
/// # Errors
///
/// Returns what the subcommand could not do.
pub async fn report(matches: &ArgMatches) -> anyhow::Result<Report> {
    match matches.subcommand() {
        Some(("check", matches)) => check::report(matches),
        Some(("diff", matches)) => diff::report(matches),
        Some(("status", matches)) => status::report(matches).await,
        Some(("verdict", matches)) => verdict::report(matches).await,
        Some(("wait", matches)) => wait::report(matches).await,
        _ => anyhow::bail!("no such subcommand"),
    }
}
