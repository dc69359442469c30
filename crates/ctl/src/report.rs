use std::{fs, path::PathBuf, process::ExitCode};

use anyhow::Context as _;
use clap::{Arg, ArgMatches, value_parser};
use conf::Document;
use serde_json::Value;

/// Says how a command ended; a pipeline reads it as the exit code.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Code {
    /// All is as it was asked for.
    Done = 0,
    /// Something could not be read or reached.
    Failed = 1,
    /// The configuration is rejected, or processes differ.
    Rejected = 4,
    /// It did not come about in time.
    Late = 5,
}

impl From<Code> for ExitCode {
    fn from(code: Code) -> Self {
        Self::from(code as u8)
    }
}

/// What a command found out.
#[derive(Clone, Debug)]
pub struct Report {
    /// How the command ended.
    pub code: Code,
    /// Lines for people.
    pub text: String,
    /// The same for programs.
    pub json: Value,
}

impl Report {
    /// Prints the report in the form that was asked for.
    pub(crate) fn print(&self, matches: &ArgMatches) {
        let form = matches.get_one::<String>("format").map(String::as_str);
        match form {
            Some("json") => println!("{}", self.json),
            _ => println!("{}", self.text),
        }
    }
}

/// Makes the argument that chooses the form of the output.
pub(crate) fn format() -> Arg {
    Arg::new("format")
        .long("format")
        .value_name("FORM")
        .value_parser(["text", "json"])
        .default_value("text")
        .help("Form of the output")
}

/// Makes an argument that names a file.
pub(crate) fn file(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help(help)
}

/// Reads the file that an argument names; `None` if it was not given.
pub(crate) fn read(matches: &ArgMatches, name: &str) -> anyhow::Result<Option<(String, String)>> {
    let Some(path) = matches.get_one::<PathBuf>(name) else {
        return Ok(None);
    };
    let file = path.display().to_string();
    let text = fs::read_to_string(path).with_context(|| format!("{file}: cannot be read"))?;
    Ok(Some((file, text)))
}

/// Reads a document.
pub(crate) fn document(matches: &ArgMatches, name: &str) -> anyhow::Result<Document> {
    let (file, text) = read(matches, name)?.context("a document is needed")?;
    Ok(conf::parse(&file, &text)?)
}
