use std::process::ExitCode;

use clap::{ArgMatches, Command};

use crate::fetch::{addresses, fetch, given};

/// Makes the subcommand.
pub(crate) fn command() -> Command {
    Command::new("status")
        .about("Prints the state of processes, one JSON object a line")
        .arg(addresses())
}

/// Prints the state of each process; fails if one cannot be reached.
pub(crate) async fn run(matches: &ArgMatches) -> anyhow::Result<ExitCode> {
    let mut code = ExitCode::SUCCESS;
    for address in given(matches) {
        match fetch::<serde_json::Value>(address, "/status").await {
            Ok(status) => println!("{status}"),
            Err(e) => {
                eprintln!("error: {e:#}");
                code = ExitCode::FAILURE;
            }
        }
    }
    Ok(code)
}
