use std::{fmt::Write as _, net::SocketAddr, time::Duration};

use conf::id;
use event::{Event, Stamp, since_epoch};
use serde::Serialize;

/// Line of a timeline: an event, or a note that events are missing.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", untagged)]
pub enum Line {
    /// Recorded event.
    Event(Event),
    /// Earlier events that a process has dropped.
    Gap {
        /// Name of the process.
        process: id::Process,
        /// Number of dropped events.
        gap: u64,
        /// Stamp of the first event after the gap.
        stamp: Stamp,
    },
    /// Address of a process that could not be reached, so that all its events are missing.
    Unreachable(SocketAddr),
}

/// Returns the gaps in the events of one process, where its ring buffer has dropped events.
#[must_use]
pub fn find_gaps(events: &[Event]) -> Vec<Line> {
    let mut next = 0;
    let mut gaps = Vec::new();
    for event in events {
        if event.sequence > next {
            gaps.push(Line::Gap {
                process: event.process.clone(),
                gap: event.sequence - next,
                stamp: event.stamp,
            });
        }
        next = event.sequence + 1;
    }
    gaps
}

impl Line {
    /// Returns the stamp by which lines are sorted; 0 for an unreachable process, which comes first.
    #[must_use]
    pub const fn stamp(&self) -> Stamp {
        match self {
            Line::Event(event) => event.stamp,
            Line::Gap { stamp, .. } => *stamp,
            Line::Unreachable(_) => 0,
        }
    }

    /// Sorts lines by stamp; a gap precedes the event with the same stamp.
    #[must_use]
    pub fn sort(mut lines: Vec<Line>) -> Vec<Line> {
        lines.sort_by_key(|line| (line.stamp(), matches!(line, Line::Event(_))));
        lines
    }

    /// Converts the line to a JSON object.
    #[must_use]
    pub fn json(&self) -> serde_json::Value {
        match self {
            Line::Unreachable(address) => serde_json::json!({ "unreachable": address }),
            other => serde_json::to_value(other).unwrap_or_default(),
        }
    }

    /// Formats lines as text; times are in seconds since the first event.
    #[must_use]
    pub fn text(lines: &[Line]) -> String {
        let start = lines
            .iter()
            .map(Line::stamp)
            .find(|stamp| *stamp > 0)
            .unwrap_or(0);
        let mut text = String::new();
        if start > 0 {
            let at = std::time::SystemTime::UNIX_EPOCH + since_epoch(start);
            let _ = writeln!(text, "from {}", humantime::format_rfc3339_micros(at));
        }
        for line in lines {
            let since = since_epoch(line.stamp()).saturating_sub(since_epoch(start));
            let _ = writeln!(text, "{}", line.format(since));
        }
        text
    }

    fn format(&self, since_start: Duration) -> String {
        let seconds = since_start.as_secs_f64();
        match self {
            Line::Event(event) => {
                let request = event.request.as_deref().unwrap_or("-");
                format!(
                    "{seconds:+12.6}  {:20} {request:32} {}",
                    event.process, event.kind
                )
            }
            Line::Gap { process, gap, .. } => {
                format!("{seconds:+12.6}  {process:20} GAP: {gap} earlier events were dropped")
            }
            Line::Unreachable(address) => {
                format!("           -  {address:20} GAP: unreachable, all its events are missing")
            }
        }
    }
}
