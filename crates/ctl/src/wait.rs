use std::{net::SocketAddr, time::Duration};

use clap::{Arg, ArgMatches, Command, value_parser};
use serde::Deserialize;
use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::{
    fetch::{addresses, addresses_arg, fetch},
    report::{Code, Report, format_arg},
};

/// Delay between two polls of the processes.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Part of a process's answer to `/status` that this command reads.
#[derive(Deserialize)]
struct Status {
    version: u64,
}

pub(crate) fn command() -> Command {
    Command::new("wait")
        .about("Waits until a version or a later one is in force in all given processes")
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
                .help("Limit on the wait, in seconds"),
        )
        .arg(format_arg())
        .arg(addresses_arg())
}

/// Polls until the version is in force in all processes or the time limit is reached, and lists the
/// processes that lack it.
pub(crate) async fn report(matches: &ArgMatches) -> anyhow::Result<Report> {
    let version = matches.get_one("version").copied().unwrap_or(0);
    let seconds = matches.get_one("seconds").copied().unwrap_or(0);
    let end = Instant::now() + Duration::from_secs(seconds);
    let mut behind = addresses(matches);
    loop {
        let mut lagging = Vec::new();
        for address in behind {
            if fetch_version(address)
                .await
                .is_none_or(|current| current < version)
            {
                lagging.push(address);
            }
        }
        behind = lagging;
        if behind.is_empty() || Instant::now() >= end {
            return Ok(describe(version, &behind));
        }
        sleep(POLL_INTERVAL).await;
    }
}

async fn fetch_version(address: SocketAddr) -> Option<u64> {
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
        .map(|address| {
            format!("{address}: version {version} is not in force, or the process does not answer")
        })
        .collect();
    Report {
        code: Code::Late,
        text: lines.join("\n"),
        json,
    }
}
