use std::process::ExitCode;

use clap::{Arg, ArgGroup, ArgMatches, Command, builder::PossibleValuesParser, value_parser};
use event::Event;

use crate::{
    explain::explain,
    fetch::{addresses, addresses_arg, fetch},
    filter::Filter,
    line::{Line, find_gaps},
    trace::trace,
};

pub(crate) fn command() -> Command {
    let option =
        |name: &'static str, value, help| Arg::new(name).long(name).value_name(value).help(help);
    Command::new("timeline")
        .about("Prints the merged events of processes, with causes before their effects")
        .arg(addresses_arg())
        .arg(option("request", "ID", "Only the events of this request"))
        .arg(option(
            "endpoint",
            "NAME",
            "Only the events of this endpoint and of requests offered to it",
        ))
        .arg(
            option(
                "version",
                "NUMBER",
                "Only the events about this configuration version",
            )
            .value_parser(value_parser!(u64)),
        )
        .arg(option("group", "NAME", "Only the events of this group"))
        .group(ArgGroup::new("by").args(["request", "endpoint", "version", "group"]))
        .arg(
            option("format", "FORMAT", "Output format")
                .value_parser(PossibleValuesParser::new(["text", "json", "trace"]))
                .default_value("text"),
        )
        .arg(
            Arg::new("why")
                .long("why")
                .num_args(0)
                .requires("request")
                .conflicts_with("format")
                .help("Explain the answer to the request"),
        )
}

/// Prints the merged events; the exit code is 1 if a process cannot be reached.
pub(crate) async fn run(matches: &ArgMatches) -> anyhow::Result<ExitCode> {
    let mut code = ExitCode::SUCCESS;
    let mut lines = Vec::new();
    let mut events = Vec::new();
    for address in addresses(matches) {
        match fetch::<Vec<Event>>(address, "/events").await {
            Ok(fetched) => {
                lines.extend(find_gaps(&fetched));
                events.extend(fetched);
            }
            Err(e) => {
                eprintln!("error: {e:#}");
                lines.push(Line::Unreachable(address));
                code = ExitCode::FAILURE;
            }
        }
    }
    let filter = filter(matches);
    lines.extend(filter.keep(merge(events)).into_iter().map(Line::Event));
    let lines = Line::sort(lines);
    if let (true, Filter::Request(id)) = (matches.get_flag("why"), &filter) {
        print!("{}", explain(id, &lines));
        return Ok(code);
    }
    match matches.get_one::<String>("format").map(String::as_str) {
        Some("json") => lines.iter().for_each(|line| println!("{}", line.json())),
        Some("trace") => println!("{}", trace(&lines)),
        _ => print!("{}", Line::text(&lines)),
    }
    Ok(code)
}

fn filter(matches: &ArgMatches) -> Filter {
    let text = |name| matches.get_one::<String>(name).map(Into::into);
    let filter = text("request").map(Filter::Request);
    let filter = filter.or_else(|| text("endpoint").map(Filter::Endpoint));
    let filter = filter.or_else(|| text("group").map(Filter::Group));
    let by_version = || matches.get_one("version").copied().map(Filter::Version);
    filter.or_else(by_version).unwrap_or(Filter::All)
}

/// Sorts the events of several processes by stamp, so that causes come before their effects.
#[must_use]
pub fn merge(mut events: Vec<Event>) -> Vec<Event> {
    events
        .sort_by(|a, b| (a.stamp, &a.process, a.sequence).cmp(&(b.stamp, &b.process, b.sequence)));
    events
}
