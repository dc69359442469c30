use std::collections::BTreeMap;

use event::{Event, Kind, Stamp, since_epoch};
use serde_json::{Value, json};
use smol_str::{SmolStr, ToSmolStr as _};

use crate::Line;

/// Returns lines in the trace-event format, which common viewers open.
///
/// Each process is a track; a request spans from its arrival at the entry to its end there.
#[must_use]
pub fn trace(lines: &[Line]) -> Value {
    let mut tracks = Tracks::default();
    let first = lines.iter().map(Line::stamp).find(|stamp| *stamp > 0);
    let start = micros(first.unwrap_or(0));
    let mut events = Vec::new();
    for line in lines {
        let at = micros(line.stamp()).max(start);
        events.extend(entries(line, at, &mut tracks));
    }
    events.extend(tracks.names());
    json!({ "displayTimeUnit": "ms", "traceEvents": events })
}

/// Returns a stamp as microseconds since 1970.
fn micros(stamp: Stamp) -> u64 {
    u64::try_from(since_epoch(stamp).as_micros()).unwrap_or(u64::MAX)
}

/// Numbers of the tracks, by name, and the entry of each request that has not ended.
#[derive(Default)]
struct Tracks {
    numbers: BTreeMap<SmolStr, usize>,
    open: BTreeMap<SmolStr, SmolStr>,
}

impl Tracks {
    fn number(&mut self, name: &SmolStr) -> usize {
        let next = self.numbers.len() + 1;
        *self.numbers.entry(name.clone()).or_insert(next)
    }

    fn names(&self) -> impl Iterator<Item = Value> {
        self.numbers.iter().map(|(name, number)| {
            json!({ "ph": "M", "name": "process_name", "pid": number, "tid": 1, "args": { "name": name } })
        })
    }
}

fn entries(line: &Line, at: u64, tracks: &mut Tracks) -> Vec<Value> {
    match line {
        Line::Event(event) => {
            let track = tracks.number(&event.process);
            let mut entries = vec![json!({
                "ph": "i", "s": "t", "name": event.kind.to_string(), "cat": "event",
                "ts": at, "pid": track, "tid": 1, "args": line.json(),
            })];
            entries.extend(span(event, at, track, &mut tracks.open));
            entries
        }
        Line::Gap { process, gap, .. } => {
            let track = tracks.number(process);
            vec![json!({
                "ph": "i", "s": "p", "name": format!("gap of {gap} events"), "cat": "gap",
                "ts": at, "pid": track, "tid": 1,
            })]
        }
        Line::Unreachable(address) => {
            let track = tracks.number(&address.to_smolstr());
            vec![json!({
                "ph": "i", "s": "g", "name": "not reachable", "cat": "gap",
                "ts": at, "pid": track, "tid": 1,
            })]
        }
    }
}

/// Returns the begin or end of a request's span.
fn span(
    event: &Event,
    at: u64,
    track: usize,
    open: &mut BTreeMap<SmolStr, SmolStr>,
) -> Option<Value> {
    let request = event.request.as_ref()?;
    let own = open.get(request) == Some(&event.process);
    let phase = match event.kind {
        Kind::Request { .. } => {
            open.insert(request.clone(), event.process.clone());
            "b"
        }
        Kind::Answer { .. } | Kind::Refusal { .. } if own => {
            open.remove(request);
            "e"
        }
        _ => return None,
    };
    Some(json!({
        "ph": phase, "name": request, "cat": "request", "id": request,
        "ts": at, "pid": track, "tid": 1,
    }))
}
