use ctl::{Filter, Line, explain, find_gaps, merge, trace};
use event::{Event, Kind};
use insta::assert_snapshot;

/// Stamp units per second.
const SECOND: u64 = 1 << 32;

fn event(process: &str, sequence: u64, millis: u64, request: &str, kind: Kind) -> Event {
    Event {
        process: process.into(),
        sequence,
        stamp: 1_800_000_000 * SECOND + millis * SECOND / 1000,
        request: (!request.is_empty()).then(|| request.into()),
        kind,
    }
}

fn offer(endpoint: &str, attempt: u32) -> Kind {
    let endpoint = endpoint.into();
    Kind::Offer { endpoint, attempt }
}

fn refusal(kind: &str) -> Kind {
    Kind::Refusal { kind: kind.into() }
}

/// Returns the events of an entry and of two agents, the second of which has dropped its oldest events.
fn fleet() -> [Vec<Event>; 3] {
    let request = Kind::Request {
        team: "t".into(),
        service: "drafts".into(),
    };
    let run = Kind::Run {
        endpoint: "d2".into(),
        attempt: 2,
    };
    let answer = Kind::Answer {
        status: 200,
        length: 42,
    };
    let entry = vec![
        event("entry", 0, 0, "", Kind::Start),
        event("entry", 1, 10, "r1", request.clone()),
        event("entry", 2, 11, "r1", offer("d1", 1)),
        event("entry", 3, 15, "r1", offer("d2", 2)),
        event("entry", 4, 30, "r1", answer),
        event("entry", 5, 40, "r2", request),
        event("entry", 6, 41, "r2", offer("d3", 1)),
        event("entry", 7, 50, "r2", refusal("interrupted")),
    ];
    let first = vec![
        event("agent-1", 0, 1, "", Kind::Start),
        event("agent-1", 1, 13, "r1", refusal("cold")),
    ];
    let second = vec![
        event("agent-2", 4100, 17, "r1", run),
        event("agent-2", 4101, 20, "", Kind::Version { number: 3 }),
    ];
    [entry, first, second]
}

fn lines(filter: &Filter) -> Vec<Line> {
    let fleet = fleet();
    let mut lines: Vec<_> = fleet.iter().flat_map(|events| find_gaps(events)).collect();
    let events = filter.keep(merge(fleet.concat()));
    lines.extend(events.into_iter().map(Line::Event));
    lines.push(Line::Unreachable(([127, 0, 0, 1], 9).into()));
    Line::sort(lines)
}

#[test]
fn text_lines() {
    assert_snapshot!(Line::text(&lines(&Filter::All)));
}

#[test]
fn json_lines() {
    let lines: Vec<_> = lines(&Filter::Endpoint("d2".into()))
        .iter()
        .map(|line| line.json().to_string())
        .collect();
    assert_snapshot!(lines.join("\n"));
}

#[test]
fn trace_events() {
    let trace = trace(&lines(&Filter::All));
    let events = trace["traceEvents"].as_array().unwrap();
    let text: Vec<_> = events.iter().map(ToString::to_string).collect();
    assert_snapshot!(text.join("\n"));
}

#[test]
fn why_answered() {
    assert_snapshot!(explain("r1", &lines(&Filter::Request("r1".into()))));
}

#[test]
fn why_refused() {
    assert_snapshot!(explain("r2", &lines(&Filter::Request("r2".into()))));
}

#[test]
fn by_version() {
    assert_snapshot!(Line::text(&lines(&Filter::Version(3))));
}
