use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command};
use event::Event;

use crate::fetch::{addresses, fetch, given};

/// Makes the subcommand.
pub(crate) fn command() -> Command {
    Command::new("timeline")
        .about("Prints the events of processes in one order, one JSON object a line")
        .arg(addresses())
        .arg(
            Arg::new("request")
                .long("request")
                .value_name("ID")
                .help("Only the events of this request"),
        )
}

/// Prints the merged events; fails if a process cannot be reached.
pub(crate) async fn run(matches: &ArgMatches) -> anyhow::Result<ExitCode> {
    let mut code = ExitCode::SUCCESS;
    let mut events = Vec::new();
    for address in given(matches) {
        match fetch::<Vec<Event>>(address, "/events").await {
            Ok(more) => events.extend(more),
            Err(e) => {
                eprintln!("error: {e:#}");
                code = ExitCode::FAILURE;
            }
        }
    }
    let request = matches.get_one::<String>("request");
    for event in merge(events) {
        if request.is_none_or(|id| event.request.as_deref() == Some(id)) {
            println!("{}", serde_json::to_string(&event)?);
        }
    }
    Ok(code)
}

/// Orders the events of several processes so that causes come before their effects.
#[must_use]
pub fn merge(mut events: Vec<Event>) -> Vec<Event> {
    events
        .sort_by(|a, b| (a.stamp, &a.process, a.sequence).cmp(&(b.stamp, &b.process, b.sequence)));
    events
}
