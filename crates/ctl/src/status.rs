use clap::{ArgMatches, Command};
use serde_json::{Value, json};

use crate::{
    fetch::{addresses, addresses_arg, fetch},
    report::{Code, Report, format_arg},
};

pub(crate) fn command() -> Command {
    Command::new("status")
        .about("Prints the status of each process, as a line of text or a JSON object")
        .arg(format_arg())
        .arg(addresses_arg())
}

/// Fetches the status of each process; the code is [`Code::Failed`] if one cannot be reached.
pub(crate) async fn report(matches: &ArgMatches) -> anyhow::Result<Report> {
    let mut code = Code::Done;
    let (mut lines, mut all) = (Vec::new(), Vec::new());
    for address in addresses(matches) {
        match fetch::<Value>(address, "/status").await {
            Ok(status) => {
                lines.push(format_status(&status));
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

fn format_status(status: &Value) -> String {
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
