use std::{
    io::{self, Read as _},
    path::PathBuf,
    process::ExitCode,
};

use anyhow::Context as _;
use clap::{Arg, ArgMatches, Command, value_parser};
use serde_json::{Map, Value};

/// Log fields that are not printed as `name=value`: three start the line, and `level` is left out.
const UNNAMED_FIELDS: [&str; 4] = ["time", "process", "level", "event"];

pub(crate) fn command() -> Command {
    Command::new("story")
        .about("Prints the log lines of all processes about one request, sorted by time")
        .arg(
            Arg::new("log")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Log lines of any number of processes; defaults to standard input"),
        )
        .arg(
            Arg::new("request")
                .long("request")
                .value_name("ID")
                .required(true)
                .help("Id of the request"),
        )
}

/// Prints the lines about a request; the exit code is 1 if no line names the request.
pub(crate) fn run(matches: &ArgMatches) -> anyhow::Result<ExitCode> {
    let text = match matches.get_one::<PathBuf>("log") {
        Some(path) => std::fs::read_to_string(path)
            .with_context(|| format!("{}: cannot be read", path.display()))?,
        None => {
            let mut text = String::new();
            io::stdin().read_to_string(&mut text)?;
            text
        }
    };
    let request = matches
        .get_one::<String>("request")
        .cloned()
        .unwrap_or_default();
    let lines = select_lines(&text, &request);
    if lines.is_empty() {
        eprintln!("error: no log line names request {request}");
        return Ok(ExitCode::FAILURE);
    }
    print!("{lines}");
    Ok(ExitCode::SUCCESS)
}

/// Returns the lines of a log about a request, sorted by time; empty if no line names the request.
///
/// Text before the JSON object of a line, such as the timestamp of a log collector, is ignored.
/// Lines without a request that name an endpoint of this one, and fall between its first and last
/// line, are included with indentation.
#[must_use]
pub fn select_lines(text: &str, request: &str) -> String {
    let parsed = text.lines().filter_map(|line| {
        let object = &line[line.find('{')?..];
        serde_json::from_str::<Map<String, Value>>(object).ok()
    });
    let mut lines: Vec<Map<String, Value>> = parsed.collect();
    lines.sort_by_key(|line| field(line, "time"));
    let names_request = |line: &Map<String, Value>| field(line, "request") == request;
    let matching: Vec<&Map<String, Value>> =
        lines.iter().filter(|line| names_request(line)).collect();
    let (Some(first), Some(last)) = (matching.first(), matching.last()) else {
        return String::new();
    };
    let span = (field(first, "time"), field(last, "time"));
    let endpoints: Vec<String> = matching
        .iter()
        .map(|line| field(line, "endpoint"))
        .collect();
    let mut output = String::new();
    for line in &lines {
        let time = field(line, "time");
        let endpoint = field(line, "endpoint");
        let is_concurrent = !endpoint.is_empty()
            && endpoints.contains(&endpoint)
            && field(line, "request").is_empty()
            && time >= span.0
            && time <= span.1;
        if names_request(line) {
            output.push_str(&format!("{}\n", format_line(line)));
        } else if is_concurrent {
            output.push_str(&format!("    {}\n", format_line(line)));
        }
    }
    output
}

fn field(line: &Map<String, Value>, name: &str) -> String {
    match line.get(name) {
        Some(Value::String(text)) => text.clone(),
        Some(value) => value.to_string(),
        None => String::new(),
    }
}

/// Formats a line as time, process and event, followed by the other fields.
fn format_line(line: &Map<String, Value>) -> String {
    let mut text = format!(
        "{} {} {}",
        field(line, "time"),
        field(line, "process"),
        field(line, "event")
    );
    for name in line.keys() {
        if !UNNAMED_FIELDS.contains(&name.as_str()) && name != "request" {
            text.push_str(&format!(" {name}={}", field(line, name)));
        }
    }
    text
}
