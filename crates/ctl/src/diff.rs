use clap::{ArgMatches, Command};
use conf::{difference, warnings};
use serde_json::{Value, json};

use crate::{
    check::describe_warnings,
    report::{Code, Report, file_arg, format_arg, read_document},
};

pub(crate) fn command() -> Command {
    Command::new("diff")
        .about("Prints the merge patch from one document to another; works offline")
        .arg(file_arg("old", "Document that is in force").required(true))
        .arg(file_arg("new", "Document that is to replace it").required(true))
        .arg(format_arg())
}

/// Returns the changed fields and the warnings for the new document as text, and the merge patch as
/// JSON, which is published as it is.
pub(crate) fn report(matches: &ArgMatches) -> anyhow::Result<Report> {
    let old = serde_json::to_value(read_document(matches, "old")?)?;
    let document = read_document(matches, "new")?;
    let new = serde_json::to_value(&document)?;
    let patch = difference(&old, &new).unwrap_or_else(|| json!({}));
    let mut lines = list_changes(&patch, &old);
    lines.extend(describe_warnings(&warnings(&document)));
    Ok(Report {
        code: Code::Done,
        text: lines.join("\n"),
        json: patch,
    })
}

/// Returns one line for each value that a merge patch adds to, removes from or changes in `old`.
#[must_use]
pub fn list_changes(patch: &Value, old: &Value) -> Vec<String> {
    let mut lines = Vec::new();
    collect_changes("", patch, old, &mut lines);
    lines
}

fn collect_changes(path: &str, patch: &Value, old: &Value, lines: &mut Vec<String>) {
    match (patch, old) {
        (Value::Object(changes), Value::Object(before)) => {
            for (name, change) in changes {
                let path = format!("{path}{}{name}", if path.is_empty() { "" } else { "." });
                collect_changes(
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
