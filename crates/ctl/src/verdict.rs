use std::net::SocketAddr;

use anyhow::Context as _;
use clap::{Arg, ArgMatches, Command, value_parser};
use conf::{Fold, Outcome, Position, Verdict};
use serde_json::json;

use crate::{
    fetch::{addresses, fetch, given},
    report::{Code, Report, file, format, read},
};

/// Makes the subcommand.
pub(crate) fn command() -> Command {
    Command::new("verdict")
        .about("Tells which published records are in force and why others are rejected")
        .arg(
            file("log", "Published records, one a line; decides them offline")
                .long("log")
                .required_unless_present("address"),
        )
        .arg(
            Arg::new("position")
                .long("position")
                .value_name("NUMBER")
                .value_parser(value_parser!(u64))
                .help("Only the record at this place of the log"),
        )
        .arg(format())
        .arg(addresses().required(false))
}

/// Lists verdicts; the code says whether one asked for is a rejection, or processes differ.
pub(crate) async fn report(matches: &ArgMatches) -> anyhow::Result<Report> {
    let mut verdicts = match read(matches, "log")? {
        Some((_, text)) => decide(&text)?,
        None => Vec::new(),
    };
    let mut differ = Vec::new();
    for address in given(matches) {
        let said: Vec<Verdict> = fetch(address, "/verdicts").await?;
        differ.extend(compare(address, &verdicts, &said));
        if verdicts.is_empty() {
            verdicts = said;
        }
    }
    let position = matches.get_one::<Position>("position").copied();
    verdicts.retain(|v| position.is_none_or(|p| p == v.position));
    if let Some(position) = position.filter(|_| verdicts.is_empty()) {
        anyhow::bail!("record {position} is not, or no longer, among the verdicts");
    }
    let rejected = position.is_some() && matches!(verdicts[0].outcome, Outcome::Rejected(_));
    let lines: Vec<_> = verdicts
        .iter()
        .map(ToString::to_string)
        .chain(differ.iter().cloned())
        .collect();
    let code = match rejected || !differ.is_empty() {
        true => Code::Rejected,
        false => Code::Done,
    };
    let json = json!({ "verdicts": verdicts, "differ": differ });
    let text = lines.join("\n");
    Ok(Report { code, text, json })
}

fn decide(log: &str) -> anyhow::Result<Vec<Verdict>> {
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

/// Compares the verdicts that both sides still have.
fn compare(address: SocketAddr, known: &[Verdict], said: &[Verdict]) -> Vec<String> {
    let differs = |v: &&Verdict| {
        let other = known.iter().find(|k| k.position == v.position);
        other.is_some_and(|k| k.outcome != v.outcome)
    };
    let differing = said.iter().filter(differs);
    differing
        .map(|v| format!("{address} differs: {v}"))
        .collect()
}
