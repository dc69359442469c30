use std::collections::BTreeMap;

use event::{Event, Kind, Stamp, since_epoch};
use serde_json::{Value, json};
use smol_str::{SmolStr, ToSmolStr as _};

use crate::Line;

/// Converts lines to the Trace Event Format of Chromium, which common trace viewers open.
///
/// Each process is a track. The span of a request lasts from its arrival at the entry to its end there.
#[must_use]
pub fn trace(lines: &[Line]) -> Value {
    let mut tracks = Tracks::default();
    let first = lines.iter().map(Line::stamp).find(|stamp| *stamp > 0);
    let start = micros(first.unwrap_or(0));
    let mut events = Vec::new();
    for line in lines {
        let at = micros(line.stamp()).max(start);
        events.extend(convert(line, at, &mut tracks));
    }
    events.extend(tracks.name_events());
    json!({ "displayTimeUnit": "ms", "traceEvents": events })
}

/// Converts a stamp to microseconds since the Unix epoch.
fn micros(stamp: Stamp) -> u64 {
    u64::try_from(since_epoch(stamp).as_micros()).unwrap_or(u64::MAX)
}

#[derive(Default)]
struct Tracks {
    /// Number of each track, by the name of its process.
    numbers: BTreeMap<SmolStr, usize>,
    /// Entry of each request whose span has begun but not ended.
    open: BTreeMap<SmolStr, SmolStr>,
}

impl Tracks {
    fn number(&mut self, name: &SmolStr) -> usize {
        let next = self.numbers.len() + 1;
        *self.numbers.entry(name.clone()).or_insert(next)
    }

    fn name_events(&self) -> impl Iterator<Item = Value> {
        self.numbers.iter().map(|(name, number)| {
            json!({ "ph": "M", "name": "process_name", "pid": number, "tid": 1, "args": { "name": name } })
        })
    }
}

fn convert(line: &Line, at: u64, tracks: &mut Tracks) -> Vec<Value> {
    match line {
        Line::Event(event) => {
            let track = tracks.number(&event.process);
            let mut events = vec![json!({
                "ph": "i", "s": "t", "name": event.kind.to_string(), "cat": "event",
                "ts": at, "pid": track, "tid": 1, "args": line.json(),
            })];
            events.extend(span(event, at, track, &mut tracks.open));
            events
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
                "ph": "i", "s": "g", "name": "unreachable", "cat": "gap",
                "ts": at, "pid": track, "tid": 1,
            })]
        }
    }
}

/// Returns the event that begins or ends the span of a request, if this event does either.
fn span(
    event: &Event,
    at: u64,
    track: usize,
    open: &mut BTreeMap<SmolStr, SmolStr>,
) -> Option<Value> {
    let request = event.request.as_ref()?;
    let began_here = open.get(request) == Some(&event.process);
    let phase = match event.kind {
        Kind::Request { .. } => {
            open.insert(request.clone(), event.process.clone());
            "b"
        }
        Kind::Answer { .. } | Kind::Refusal { .. } if began_here => {
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
