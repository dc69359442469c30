use clap::{ArgMatches, Command};
use serde_json::{Value, json};

use crate::{
    fetch::{addresses, fetch, given},
    report::{Code, Report, format},
};

/// Makes the subcommand.
pub(crate) fn command() -> Command {
    Command::new("status")
        .about("Prints the state of processes, one line each, or as a list of JSON objects")
        .arg(format())
        .arg(addresses())
}

/// Collects the state of each process; fails if one cannot be reached.
pub(crate) async fn report(matches: &ArgMatches) -> anyhow::Result<Report> {
    let mut code = Code::Done;
    let (mut lines, mut all) = (Vec::new(), Vec::new());
    for address in given(matches) {
        match fetch::<Value>(address, "/status").await {
            Ok(status) => {
                lines.push(line(&status));
                all.push(status);
            }
            Err(e) => {
                code = Code::Failed;
                lines.push(format!("{address}: {e:#}"));
                all.push(json!({ "address": address, "error": format!("{e:#}") }));
            }
        }
    }
    Ok(Report {
        code,
        text: lines.join("\n"),
        json: Value::Array(all),
    })
}

fn line(status: &Value) -> String {
    let text = |field: &str| status[field].as_str().unwrap_or_default().to_owned();
    let chain: String = text("chain").chars().take(12).collect();
    let leaving = if status["leaving"] == true {
        ", leaving"
    } else {
        ""
    };
    format!(
        "{}: version {} ({chain}), record {}, {} alarms{leaving}",
        text("process"),
        status["version"],
        status["position"],
        status["alarms"],
    )
}
