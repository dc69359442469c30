use std::{net::SocketAddr, time::Duration};

use clap::{Arg, ArgMatches, Command, value_parser};
use serde::Deserialize;
use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::{
    fetch::{addresses, fetch, given},
    report::{Code, Report, format},
};

/// Pause between two questions.
const PAUSE: Duration = Duration::from_millis(100);

#[derive(Deserialize)]
struct Status {
    version: u64,
}

/// Makes the subcommand.
pub(crate) fn command() -> Command {
    Command::new("wait")
        .about("Waits until a version, or a later one, is in force on all given processes")
        .arg(
            Arg::new("version")
                .long("version")
                .value_name("NUMBER")
                .value_parser(value_parser!(u64))
                .required(true)
                .help("Number of the version"),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_name("SECONDS")
                .value_parser(value_parser!(u64))
                .default_value("10")
                .help("Longest wait"),
        )
        .arg(format())
        .arg(addresses())
}

/// Waits, and names those that are behind at the end.
pub(crate) async fn report(matches: &ArgMatches) -> anyhow::Result<Report> {
    let version = matches.get_one("version").copied().unwrap_or(0);
    let seconds = matches.get_one("seconds").copied().unwrap_or(0);
    let end = Instant::now() + Duration::from_secs(seconds);
    let mut behind = given(matches);
    loop {
        let mut still = Vec::new();
        for address in behind {
            if reached(address).await.is_none_or(|own| own < version) {
                still.push(address);
            }
        }
        behind = still;
        if behind.is_empty() || Instant::now() >= end {
            return Ok(describe(version, &behind));
        }
        sleep(PAUSE).await;
    }
}

async fn reached(address: SocketAddr) -> Option<u64> {
    let status: Status = fetch(address, "/status").await.ok()?;
    Some(status.version)
}

fn describe(version: u64, behind: &[SocketAddr]) -> Report {
    let json = json!({ "version": version, "behind": behind });
    if behind.is_empty() {
        let text = format!("version {version} is in force");
        let code = Code::Done;
        return Report { code, text, json };
    }
    let lines: Vec<_> = behind
        .iter()
        .map(|address| format!("{address}: version {version} is not in force, or no answer"))
        .collect();
    Report {
        code: Code::Late,
        text: lines.join("\n"),
        json,
    }
}
