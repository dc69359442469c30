use std::fmt::Write as _;

use conf::id;
use event::{Event, Kind};
use fault::{ErrorKind, Run};
use smol_str::SmolStr;

use crate::Line;

/// Explains the answer to a request in sentences, from its events in order.
///
/// Missing events are listed at the end.
#[must_use]
pub fn explain(request: &str, lines: &[Line]) -> String {
    let events: Vec<_> = lines
        .iter()
        .filter_map(|line| match line {
            Line::Event(event) => Some(event),
            _ => None,
        })
        .collect();
    let mut text = String::new();
    for (index, event) in events.iter().enumerate() {
        let is_final = is_final(event, &events);
        let _ = writeln!(text, "{}", sentence(event, is_final, &events[index + 1..]));
    }
    if !events.iter().any(|event| is_final(event, &events)) {
        let _ = writeln!(
            text,
            "The end of request {request} is unknown: it is still running, or its events were dropped."
        );
    }
    for line in lines {
        match line {
            Line::Gap { process, gap, .. } => {
                let _ = writeln!(text, "Missing: {gap} earlier events of {process}.");
            }
            Line::Unreachable(address) => {
                let _ = writeln!(text, "Missing: all events of the process at {address}.");
            }
            Line::Event(_) => {}
        }
    }
    text
}

/// Returns the entry that received the request.
fn receiving_entry<'a>(events: &[&'a Event]) -> Option<&'a id::Process> {
    let is_arrival = |event: &&&Event| matches!(event.kind, Kind::Request { .. });
    events.iter().find(is_arrival).map(|event| &event.process)
}

/// Returns whether an event is the final answer to the client.
fn is_final(event: &Event, events: &[&Event]) -> bool {
    match event.kind {
        Kind::Answer { .. } => true,
        Kind::Refusal { .. } => receiving_entry(events).is_none_or(|entry| *entry == event.process),
        _ => false,
    }
}

fn sentence(event: &Event, is_final: bool, later: &[&Event]) -> String {
    let process = &event.process;
    match &event.kind {
        Kind::Request { team, service } => {
            format!("Team {team} sent {process} a request for {service}.")
        }
        Kind::Offer { endpoint, attempt } => {
            let mut text = format!("Attempt {attempt} was offered to {endpoint}.");
            if !agent_responded(process, later) {
                text.push_str(" What its agent did with it is not known.");
            }
            text
        }
        Kind::Run { endpoint, attempt } => format!("Attempt {attempt} was started at {endpoint}."),
        Kind::Refusal { kind } => refusal(process, kind, is_final),
        Kind::Answer { status, length } => {
            format!("The client received the whole answer: status {status}, {length} bytes.")
        }
        other => format!("{process}: {other}."),
    }
}

/// Returns whether an agent recorded an event before the entry's next one, not counting answers.
fn agent_responded(entry: &id::Process, later: &[&Event]) -> bool {
    let before_next = later
        .iter()
        .take_while(|event| event.process != *entry || matches!(event.kind, Kind::Answer { .. }));
    before_next.into_iter().any(|event| event.process != *entry)
}

fn refusal(process: &id::Process, kind: &SmolStr, is_final: bool) -> String {
    let known = ErrorKind::ALL
        .into_iter()
        .find(|known| known.name() == kind);
    let response = known.map(ErrorKind::response);
    let title = response.map_or("unknown kind", |response| {
        response.title.trim_end_matches('.')
    });
    if is_final {
        return format!("{process} refused the request: {kind} ({title}).");
    }
    let run = match response.map(|response| response.run) {
        Some(Run::No) => "did not run",
        Some(Run::Unknown) | None => "may have run",
    };
    format!("{process} refused the attempt, which {run}: {kind} ({title}).")
}
