use std::{
    io::{self, Read as _},
    path::PathBuf,
    process::ExitCode,
};

use anyhow::Context as _;
use clap::{Arg, ArgMatches, Command, value_parser};
use serde_json::{Map, Value};

/// Fields that stand at the start of a line of the story.
const LEADING: [&str; 4] = ["time", "process", "level", "event"];

/// Makes the subcommand.
pub(crate) fn command() -> Command {
    Command::new("story")
        .about("Prints what the logs of all processes say of one request, in order")
        .arg(
            Arg::new("log")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Log lines of any number of processes; standard input if left out"),
        )
        .arg(
            Arg::new("request")
                .long("request")
                .value_name("ID")
                .required(true)
                .help("Id of the request"),
        )
}

/// Prints the story; fails if no line names the request.
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
    let story = story(&text, &request);
    if story.is_empty() {
        eprintln!("error: no line names the request {request}");
        return Ok(ExitCode::FAILURE);
    }
    print!("{story}");
    Ok(ExitCode::SUCCESS)
}

/// Returns the lines of a log that tell of a request, ordered by time.
///
/// What stands before the JSON object of a line, such as a collector's own time, is passed over.
/// Lines that name an endpoint of the request, or what happened to it, while the request was under
/// way follow it indented.
#[must_use]
pub fn story(text: &str, request: &str) -> String {
    let parsed = text.lines().filter_map(|line| {
        let object = &line[line.find('{')?..];
        serde_json::from_str::<Map<String, Value>>(object).ok()
    });
    let mut lines: Vec<Map<String, Value>> = parsed.collect();
    lines.sort_by_key(|line| field(line, "time"));
    let names = |line: &Map<String, Value>| field(line, "request") == request;
    let own: Vec<&Map<String, Value>> = lines.iter().filter(|line| names(line)).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return String::new();
    };
    let span = (field(first, "time"), field(last, "time"));
    let endpoints: Vec<String> = own.iter().map(|line| field(line, "endpoint")).collect();
    let mut story = String::new();
    for line in &lines {
        let time = field(line, "time");
        let endpoint = field(line, "endpoint");
        let beside = !endpoint.is_empty()
            && endpoints.contains(&endpoint)
            && field(line, "request").is_empty()
            && time >= span.0
            && time <= span.1;
        if names(line) {
            story.push_str(&format!("{}\n", tell(line)));
        } else if beside {
            story.push_str(&format!("    {}\n", tell(line)));
        }
    }
    story
}

fn field(line: &Map<String, Value>, name: &str) -> String {
    match line.get(name) {
        Some(Value::String(text)) => text.clone(),
        Some(value) => value.to_string(),
        None => String::new(),
    }
}

/// Writes a line: time, process and event, then the other fields.
fn tell(line: &Map<String, Value>) -> String {
    let mut text = format!(
        "{} {} {}",
        field(line, "time"),
        field(line, "process"),
        field(line, "event")
    );
    for name in line.keys() {
        if !LEADING.contains(&name.as_str()) && name != "request" {
            text.push_str(&format!(" {name}={}", field(line, name)));
        }
    }
    text
}
