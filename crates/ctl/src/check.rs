use clap::{Arg, ArgMatches, Command, value_parser};
use conf::{Change, Document, Violation, check, merge, warnings};
use serde_json::{Value, json};

use crate::report::{Code, Report, file_arg, format_arg, read_document, read_file};

pub(crate) fn command() -> Command {
    Command::new("check")
        .about("Validates a document, or a patch to it, by the rules that processes apply; works offline")
        .arg(file_arg("document", "Document that is in force").required(true))
        .arg(file_arg(
            "patch",
            "Merge patch, or a record with `base` and `patch`",
        ))
        .arg(
            Arg::new("version")
                .long("version")
                .value_name("NUMBER")
                .value_parser(value_parser!(u64))
                .help("Number of the version in force; the `base` of a record must equal it"),
        )
        .arg(format_arg())
}

/// Returns all violations and warnings in the document, or in the document after the patch.
pub(crate) fn report(matches: &ArgMatches) -> anyhow::Result<Report> {
    let document = read_document(matches, "document")?;
    let version = matches.get_one::<u64>("version").copied();
    let checked = match read_file(matches, "patch")? {
        Some((file, text)) => apply_patch(&document, &file, &text, version)?,
        None => Ok(document),
    };
    let (violations, warnings) = match checked {
        Ok(document) => (check(&document), warnings(&document)),
        Err(violation) => (vec![violation], Vec::new()),
    };
    Ok(describe(&violations, &warnings))
}

/// Returns the document after the patch, or why the patch does not apply.
fn apply_patch(
    document: &Document,
    file: &str,
    text: &str,
    version: Option<u64>,
) -> anyhow::Result<Result<Document, Violation>> {
    let value: Value = conf::parse(file, text)?;
    let patch = match value.get("base") {
        None => value,
        Some(_) => {
            let change: Change = conf::parse(file, text)?;
            if let Some(version) = version.filter(|version| *version != change.base) {
                let rule = format!("is not version {version}, which is in force");
                let remedy = "recreate the patch against that version";
                return Ok(Err(Violation::new("base", change.base, &rule, remedy)));
            }
            change.patch
        }
    };
    Ok(merge(document, &patch))
}

fn describe(violations: &[Violation], warnings: &[Violation]) -> Report {
    let mut lines: Vec<_> = violations.iter().map(ToString::to_string).collect();
    let code = match violations.is_empty() {
        true => Code::Done,
        false => Code::Rejected,
    };
    if violations.is_empty() {
        lines.push("accepted".to_owned());
    }
    lines.extend(describe_warnings(warnings));
    let json = json!({
        "accepted": violations.is_empty(),
        "mistakes": violations,
        "warnings": warnings,
    });
    Report {
        code,
        text: lines.join("\n"),
        json,
    }
}

/// Returns one line for each warning.
pub(crate) fn describe_warnings(warnings: &[Violation]) -> impl Iterator<Item = String> {
    warnings.iter().map(|warning| format!("warning: {warning}"))
}
