use std::process::ExitCode;

use clap::{Arg, ArgGroup, ArgMatches, Command, builder::PossibleValuesParser, value_parser};
use event::Event;

use crate::{
    explain::explain,
    fetch::{addresses, fetch, given},
    filter::Filter,
    line::{Line, gaps},
    trace::trace,
};

/// Makes the subcommand.
pub(crate) fn command() -> Command {
    let by =
        |name: &'static str, value, help| Arg::new(name).long(name).value_name(value).help(help);
    Command::new("timeline")
        .about("Prints the events of processes in one order, causes before their effects")
        .arg(addresses())
        .arg(by("request", "ID", "Only the events of this request"))
        .arg(by(
            "endpoint",
            "NAME",
            "Only the events of this endpoint and of requests offered to it",
        ))
        .arg(
            by(
                "version",
                "NUMBER",
                "Only the events of this version of the configuration",
            )
            .value_parser(value_parser!(u64)),
        )
        .arg(by("group", "NAME", "Only the events of this group"))
        .group(ArgGroup::new("by").args(["request", "endpoint", "version", "group"]))
        .arg(
            by("format", "FORMAT", "How to print the events")
                .value_parser(PossibleValuesParser::new(["text", "json", "trace"]))
                .default_value("text"),
        )
        .arg(
            Arg::new("why")
                .long("why")
                .num_args(0)
                .requires("request")
                .conflicts_with("format")
                .help("Say why the request got its answer"),
        )
}

/// Prints the merged events; fails if a process cannot be reached.
pub(crate) async fn run(matches: &ArgMatches) -> anyhow::Result<ExitCode> {
    let mut code = ExitCode::SUCCESS;
    let mut lines = Vec::new();
    let mut events = Vec::new();
    for address in given(matches) {
        match fetch::<Vec<Event>>(address, "/events").await {
            Ok(more) => {
                lines.extend(gaps(&more));
                events.extend(more);
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
    let by_name = text("request").map(Filter::Request);
    let by_name = by_name.or_else(|| text("endpoint").map(Filter::Endpoint));
    let by_name = by_name.or_else(|| text("group").map(Filter::Group));
    let by_number = || matches.get_one("version").copied().map(Filter::Version);
    by_name.or_else(by_number).unwrap_or(Filter::All)
}

/// Orders the events of several processes so that causes come before their effects.
#[must_use]
pub fn merge(mut events: Vec<Event>) -> Vec<Event> {
    events
        .sort_by(|a, b| (a.stamp, &a.process, a.sequence).cmp(&(b.stamp, &b.process, b.sequence)));
    events
}
