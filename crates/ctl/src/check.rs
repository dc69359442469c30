use clap::{Arg, ArgMatches, Command, value_parser};
use conf::{Change, Document, Violation, check, merge};
use serde_json::{Value, json};

use crate::report::{Code, Report, document, file, format, read};

/// Makes the subcommand.
pub(crate) fn command() -> Command {
    Command::new("check")
        .about("Checks a document, or a patch against it, as every process will; offline")
        .arg(file("document", "Document of the version that is in force").required(true))
        .arg(file(
            "patch",
            "Merge patch, or a record with `base` and `patch`",
        ))
        .arg(
            Arg::new("version")
                .long("version")
                .value_name("NUMBER")
                .value_parser(value_parser!(u64))
                .help("Number of the version in force, to check the record's `base` against"),
        )
        .arg(format())
}

/// Lists all mistakes.
pub(crate) fn report(matches: &ArgMatches) -> anyhow::Result<Report> {
    let document = document(matches, "document")?;
    let version = matches.get_one::<u64>("version").copied();
    let mistakes = match read(matches, "patch")? {
        Some((file, text)) => patched(&document, &file, &text, version)?,
        None => check(&document),
    };
    Ok(describe(&mistakes))
}

fn patched(
    document: &Document,
    file: &str,
    text: &str,
    version: Option<u64>,
) -> anyhow::Result<Vec<Violation>> {
    let value: Value = conf::parse(file, text)?;
    let patch = match value.get("base") {
        None => value,
        Some(_) => {
            let change: Change = conf::parse(file, text)?;
            if let Some(version) = version.filter(|version| *version != change.base) {
                let rule = format!("is not version {version}, which is in force");
                let mend = "make the patch anew against that version";
                return Ok(vec![Violation::new("base", change.base, &rule, mend)]);
            }
            change.patch
        }
    };
    Ok(merge(document, &patch).map_or_else(|mistake| vec![mistake], |next| check(&next)))
}

fn describe(mistakes: &[Violation]) -> Report {
    let lines: Vec<_> = mistakes.iter().map(ToString::to_string).collect();
    let (code, text) = match lines.is_empty() {
        true => (Code::Done, "accepted".to_owned()),
        false => (Code::Rejected, lines.join("\n")),
    };
    let json = json!({ "accepted": mistakes.is_empty(), "mistakes": mistakes });
    Report { code, text, json }
}
