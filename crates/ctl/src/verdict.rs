use std::net::SocketAddr;

use anyhow::Context as _;
use clap::{Arg, ArgMatches, Command, value_parser};
use conf::{Fold, Outcome, Position, Verdict};
use serde_json::json;

use crate::{
    fetch::{addresses, addresses_arg, fetch},
    report::{Code, Report, file_arg, format_arg, read_file},
};

pub(crate) fn command() -> Command {
    Command::new("verdict")
        .about("Prints which published records are accepted, and why others are rejected")
        .arg(
            file_arg(
                "log",
                "Published records, one per line, which are evaluated offline",
            )
            .long("log")
            .required_unless_present("address"),
        )
        .arg(
            Arg::new("position")
                .long("position")
                .value_name("NUMBER")
                .value_parser(value_parser!(u64))
                .help("Only the record at this position of the log"),
        )
        .arg(format_arg())
        .arg(addresses_arg().required(false))
}

/// Returns the verdicts; the code is [`Code::Rejected`] if the record at the requested position is
/// rejected or processes disagree.
pub(crate) async fn report(matches: &ArgMatches) -> anyhow::Result<Report> {
    let mut verdicts = match read_file(matches, "log")? {
        Some((_, text)) => evaluate(&text)?,
        None => Vec::new(),
    };
    let mut differences = Vec::new();
    for address in addresses(matches) {
        let reported: Vec<Verdict> = fetch(address, "/verdicts").await?;
        differences.extend(compare(address, &verdicts, &reported));
        if verdicts.is_empty() {
            verdicts = reported;
        }
    }
    let position = matches.get_one::<Position>("position").copied();
    verdicts.retain(|v| position.is_none_or(|p| p == v.position));
    if let Some(position) = position.filter(|_| verdicts.is_empty()) {
        anyhow::bail!(
            "there is no verdict on record {position}: it is not published yet, or its verdict was dropped"
        );
    }
    let rejected = position.is_some() && matches!(verdicts[0].outcome, Outcome::Rejected(_));
    let lines: Vec<_> = verdicts
        .iter()
        .map(ToString::to_string)
        .chain(differences.iter().cloned())
        .collect();
    let code = match rejected || !differences.is_empty() {
        true => Code::Rejected,
        false => Code::Done,
    };
    let json = json!({ "verdicts": verdicts, "differ": differences });
    let text = lines.join("\n");
    Ok(Report { code, text, json })
}

fn evaluate(log: &str) -> anyhow::Result<Vec<Verdict>> {
    let mut fold = Fold::default();
    let lines = log.lines().filter(|line| !line.trim().is_empty());
    let verdicts = lines.map(|line| {
        let outcome = fold.apply(line).map_err(|e| anyhow::anyhow!("{e}"));
        let outcome = outcome.with_context(|| format!("record {}", fold.position() + 1))?;
        let position = fold.position();
        Ok(Verdict { position, outcome })
    });
    verdicts.collect()
}

/// Describes each reported verdict whose outcome differs from the known one at the same position.
fn compare(address: SocketAddr, known: &[Verdict], reported: &[Verdict]) -> Vec<String> {
    let differs = |v: &&Verdict| {
        let other = known.iter().find(|k| k.position == v.position);
        other.is_some_and(|k| k.outcome != v.outcome)
    };
    let differing = reported.iter().filter(differs);
    differing
        .map(|v| format!("{address} differs: {v}"))
        .collect()
}
