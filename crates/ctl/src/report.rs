use std::{fs, path::PathBuf, process::ExitCode};

use anyhow::Context as _;
use clap::{Arg, ArgMatches, value_parser};
use conf::Document;
use serde_json::Value;

/// Result of a subcommand, used as the exit code.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Code {
    /// The subcommand succeeded.
    Done = 0,
    /// A file could not be read or a process could not be reached.
    Failed = 1,
    /// The configuration is rejected, processes disagree, or service was not back after a trouble.
    Rejected = 4,
    /// The awaited version was not in force in time.
    Late = 5,
}

impl From<Code> for ExitCode {
    fn from(code: Code) -> Self {
        Self::from(code as u8)
    }
}

/// Output of a subcommand.
#[derive(Clone, Debug)]
pub struct Report {
    /// Result that becomes the exit code.
    pub code: Code,
    /// Human-readable output, one or more lines.
    pub text: String,
    /// Machine-readable output with the same content.
    pub json: Value,
}

impl Report {
    /// Prints the report in the format that [`format_arg`] selects.
    pub fn print(&self, matches: &ArgMatches) {
        let format = matches.get_one::<String>("format").map(String::as_str);
        match format {
            Some("json") => println!("{}", self.json),
            _ => println!("{}", self.text),
        }
    }
}

/// Returns the argument that selects the output format.
#[must_use]
pub fn format_arg() -> Arg {
    Arg::new("format")
        .long("format")
        .value_name("FORM")
        .value_parser(["text", "json"])
        .default_value("text")
        .help("Output format")
}

/// Returns an argument that takes the path of a file.
#[must_use]
pub fn file_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help(help)
}

/// Reads the file that an argument names and returns its path and text; `None` if the
/// argument is missing.
///
/// # Errors
///
/// Returns an error that names the file if it cannot be read.
pub fn read_file(matches: &ArgMatches, name: &str) -> anyhow::Result<Option<(String, String)>> {
    let Some(path) = matches.get_one::<PathBuf>(name) else {
        return Ok(None);
    };
    let file = path.display().to_string();
    let text = fs::read_to_string(path).with_context(|| format!("{file}: cannot be read"))?;
    Ok(Some((file, text)))
}

/// Reads and parses the document that an argument names.
pub(crate) fn read_document(matches: &ArgMatches, name: &str) -> anyhow::Result<Document> {
    let (file, text) = read_file(matches, name)?.context("a document is required")?;
    Ok(conf::parse(&file, &text)?)
}
