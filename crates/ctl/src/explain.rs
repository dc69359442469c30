use std::fmt::Write as _;

use conf::id;
use event::{Event, Kind};
use fault::{ErrorKind, Run};
use smol_str::SmolStr;

use crate::Line;

/// Says why a request got its answer, from its events in order.
///
/// What is missing is said to be missing.
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
        let end = is_end(event, &events);
        let _ = writeln!(text, "{}", sentence(event, end, &events[index + 1..]));
    }
    if !events.iter().any(|event| is_end(event, &events)) {
        let _ = writeln!(
            text,
            "No end of request {request} is known: it still runs, or its events are gone."
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

/// Returns the entry that took the request.
fn entry<'a>(events: &[&'a Event]) -> Option<&'a id::Process> {
    let arrival = |event: &&&Event| matches!(event.kind, Kind::Request { .. });
    events.iter().find(arrival).map(|event| &event.process)
}

/// Returns whether an event is the final word to the caller.
fn is_end(event: &Event, events: &[&Event]) -> bool {
    match event.kind {
        Kind::Answer { .. } => true,
        Kind::Refusal { .. } => entry(events).is_none_or(|entry| *entry == event.process),
        _ => false,
    }
}

fn sentence(event: &Event, end: bool, later: &[&Event]) -> String {
    let process = &event.process;
    match &event.kind {
        Kind::Request { team, service } => {
            format!("Team {team} asked {process} for {service}.")
        }
        Kind::Offer { endpoint, attempt } => {
            let mut text = format!("Attempt {attempt} was offered to {endpoint}.");
            if !was_heard(process, later) {
                text.push_str(" What its agent did with it is not known.");
            }
            text
        }
        Kind::Run { endpoint, attempt } => format!("Attempt {attempt} was started at {endpoint}."),
        Kind::Refusal { kind } => refusal(process, kind, end),
        Kind::Answer { status, length } => {
            format!("The caller got its whole answer: status {status}, {length} bytes.")
        }
        other => format!("{process}: {other}."),
    }
}

/// Returns whether an agent said anything before the entry went on.
fn was_heard(entry: &id::Process, later: &[&Event]) -> bool {
    let next = later
        .iter()
        .take_while(|event| event.process != *entry || matches!(event.kind, Kind::Answer { .. }));
    next.into_iter().any(|event| event.process != *entry)
}

fn refusal(process: &id::Process, kind: &SmolStr, end: bool) -> String {
    let known = ErrorKind::ALL
        .into_iter()
        .find(|known| known.name() == kind);
    let answer = known.map(ErrorKind::response);
    let title = answer.map_or("unknown kind", |answer| answer.title.trim_end_matches('.'));
    if end {
        return format!("The caller was refused by {process}: {kind} ({title}).");
    }
    let run = match answer.map(|answer| answer.run) {
        Some(Run::No) => "did not run",
        Some(Run::Unknown) | None => "may have run",
    };
    format!("{process} refused the attempt, which {run}: {kind} ({title}).")
}
