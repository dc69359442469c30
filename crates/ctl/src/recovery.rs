use anyhow::Context as _;
use clap::{ArgMatches, Command};
use serde::{Deserialize, Serialize};
use serde_json::json;
use smol_str::SmolStr;

use crate::report::{Code, Report, file_arg, format_arg, read_file};

/// Time after the end of a trouble from which on service must be back, in seconds.
const RECOVERY_TIME_S: f64 = 3.0;
/// Difference from the calm day up to which service counts as back.
const TOLERANCE: f64 = 0.05;

/// Course of a day: how well clients were served, and what went wrong meanwhile.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Day {
    /// Windows in order of their start.
    pub windows: Vec<Window>,
    /// Troubles in any order.
    pub troubles: Vec<Trouble>,
}

/// Part of a day over which service is measured.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Window {
    /// Start in seconds from that of the day.
    pub start: f64,
    /// Share of the possible worth that clients got, 0 to 1.
    pub served: f64,
}

/// Trouble that ends during a day.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    /// Kind of the trouble.
    pub name: SmolStr,
    /// Start in seconds from that of the day.
    pub start: f64,
    /// End in seconds from that of the day.
    pub end: f64,
}

/// How service returned after the troubles of a day.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Recovery {
    /// Number of windows that were compared with the calm day.
    pub judged: usize,
    /// Those in which service was not back.
    pub shortfalls: Vec<Shortfall>,
}

/// Window in which service was not back, although all troubles had ended.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Shortfall {
    /// Start of the window in seconds from that of the day.
    pub start: f64,
    /// Share that was served in the window.
    pub served: f64,
    /// Share that was served in the same window of the calm day.
    pub expected: f64,
    /// Trouble that ended last before the window.
    pub trouble: SmolStr,
}

pub(crate) fn command() -> Command {
    Command::new("recovery")
        .about("Says whether service was back 3 s after the troubles of a day; works offline")
        .arg(file_arg("day", "Course of the day").required(true))
        .arg(file_arg("calm", "Course of the same day without troubles").required(true))
        .arg(format_arg())
}

/// Lists the windows in which service was not back.
pub(crate) fn report(matches: &ArgMatches) -> anyhow::Result<Report> {
    let (day, calm) = (read_day(matches, "day")?, read_day(matches, "calm")?);
    let recovery = Recovery::judge(&day, &calm);
    let Recovery { judged, shortfalls } = &recovery;
    let mut lines: Vec<String> = shortfalls
        .iter()
        .map(|shortfall| {
            let Shortfall {
                start,
                served,
                expected,
                trouble,
            } = shortfall;
            format!("{start} s: {served:.3} served, {expected:.3} on the calm day, after {trouble}")
        })
        .collect();
    lines.push(format!(
        "service was not back in {} of {judged} windows",
        shortfalls.len()
    ));
    let code = match (judged, shortfalls.len()) {
        (0, _) => Code::Failed,
        (_, 0) => Code::Done,
        _ => Code::Rejected,
    };
    Ok(Report {
        code,
        text: lines.join("\n"),
        json: json!(recovery),
    })
}

fn read_day(matches: &ArgMatches, name: &str) -> anyhow::Result<Day> {
    let (file, text) = read_file(matches, name)?.context("missing argument")?;
    serde_json::from_str(&text).with_context(|| format!("{file}: not the course of a day"))
}

impl Recovery {
    /// Compares the windows of a day from 3 s after the end of the troubles before them with those of a calm day.
    ///
    /// Windows before the first trouble, beside one and during the recovery are left out, as are those that the
    /// calm day does not have.
    #[must_use]
    pub fn judge(day: &Day, calm: &Day) -> Self {
        let ends = day.windows.iter().skip(1).map(|window| window.start);
        let ends = ends.chain([f64::INFINITY]);
        let mut recovery = Self::default();
        for (window, end) in day.windows.iter().zip(ends) {
            let touches = |trouble: &Trouble| {
                trouble.start < end && trouble.end + RECOVERY_TIME_S > window.start
            };
            let is_over = |trouble: &&Trouble| trouble.end <= window.start;
            let ended = day.troubles.iter().filter(is_over);
            let last = ended.max_by(|a, b| a.end.total_cmp(&b.end));
            let mut others = calm.windows.iter();
            let expected = others.find(|other| other.start == window.start);
            let (Some(last), Some(expected)) = (last, expected) else {
                continue;
            };
            if day.troubles.iter().any(touches) {
                continue;
            }
            recovery.judged += 1;
            if window.served < expected.served - TOLERANCE {
                recovery.shortfalls.push(Shortfall {
                    start: window.start,
                    served: window.served,
                    expected: expected.served,
                    trouble: last.name.clone(),
                });
            }
        }
        recovery
    }
}
