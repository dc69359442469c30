use clap::{ArgMatches, Command};
use conf::difference;
use serde_json::{Value, json};

use crate::report::{Code, Report, document, file, format};

/// Makes the subcommand.
pub(crate) fn command() -> Command {
    Command::new("diff")
        .about("Makes the merge patch that leads from one document to another; offline")
        .arg(file("old", "Document that is in force").required(true))
        .arg(file("new", "Document that is wanted").required(true))
        .arg(format())
}

/// Lists the changed places, or gives the patch.
pub(crate) fn report(matches: &ArgMatches) -> anyhow::Result<Report> {
    let old = serde_json::to_value(document(matches, "old")?)?;
    let new = serde_json::to_value(document(matches, "new")?)?;
    let patch = difference(&old, &new).unwrap_or_else(|| json!({}));
    let mut lines = Vec::new();
    list("", &patch, &old, &mut lines);
    Ok(Report {
        code: Code::Done,
        text: lines.join("\n"),
        json: patch,
    })
}

fn list(path: &str, patch: &Value, old: &Value, lines: &mut Vec<String>) {
    match (patch, old) {
        (Value::Object(changes), Value::Object(before)) => {
            for (name, change) in changes {
                let path = format!("{path}{}{name}", if path.is_empty() { "" } else { "." });
                list(
                    &path,
                    change,
                    before.get(name).unwrap_or(&Value::Null),
                    lines,
                );
            }
        }
        (Value::Null, old) => lines.push(format!("- {path}: {old}")),
        (new, Value::Null) => lines.push(format!("+ {path}: {new}")),
        (new, old) => lines.push(format!("~ {path}: {old} -> {new}")),
    }
}
