use std::{collections::BTreeMap, hint::black_box, time::Duration};

use conf::{
    Document, Endpoint, Fold, Limit, Policy, Route, SCHEMA, Service, ServiceKind, Team, TeamKey,
    Zone, ZoneState,
};
use event::{Kind, MAX_EVENTS, Recorder};
use smol_str::{SmolStr, format_smolstr};
use tokio::time::Instant;

use super::{fit::print, usage::own_memory};

/// Copies of a document that are held to weigh one.
const COPIES: usize = 8;
/// Changes that are folded one after the other.
const CHANGES: u64 = 20;

/// Time and memory of one event.
pub(crate) fn events() -> anyhow::Result<()> {
    let recorder = Recorder::new("p".into());
    let request = SmolStr::new("0123456789abcdef0123456789abcdef");
    let kind = || Kind::Offer {
        endpoint: "drafts-a-0".into(),
        attempt: 1,
    };
    let mut points = Vec::new();
    for count in [100_000, 300_000, 1_000_000] {
        let start = Instant::now();
        (0..count).for_each(|_| recorder.record(Some(&request), kind()));
        points.push((f64::from(count), micros(start.elapsed())));
    }
    print("event, time", "µs an event", &points);
    let mut points = Vec::new();
    let mut rings = Vec::new();
    let before = own_memory()?;
    for _ in 0..4 {
        for _ in 0..16 {
            let ring = Recorder::new("p".into());
            (0..MAX_EVENTS).for_each(|_| ring.record(Some(&request), kind()));
            rings.push(ring);
        }
        points.push(((rings.len() * MAX_EVENTS) as f64, own_memory()? - before));
    }
    print("event, memory", "bytes an event", &points);
    Ok(())
}

/// Time to fold and memory to hold a document, by teams and by endpoints.
pub(crate) fn documents() -> anyhow::Result<()> {
    sizes("team", &[100, 400, 1700], |n| document(n, 16))?;
    sizes("endpoint", &[100, 1000, 5800], |n| document(16, n))?;
    let text = record(&document(1700, 5800))?;
    let times = (0..5).map(|_| fold(&text).0).collect::<Vec<_>>();
    let fastest = times.iter().copied().fold(f64::MAX, f64::min);
    println!(
        "document of 1,700 teams and 5,800 endpoints: {} bytes, folded whole in {fastest:.0} µs",
        text.len()
    );
    Ok(())
}

/// Time to fold one change of an endpoint, by the endpoints of the document.
pub(crate) fn changes() -> anyhow::Result<()> {
    let mut points = Vec::new();
    for endpoints in [100, 1000, 5800] {
        let mut fold = fold(&record(&document(1700, endpoints))?).1;
        let start = Instant::now();
        for base in 1..=CHANGES {
            let leaving = base % 2 == 1;
            let patch =
                serde_json::json!({ "endpoints": { "endpoint-0": { "leaving": leaving } } });
            let change = serde_json::json!({ "base": base, "patch": patch });
            let _ = fold.apply(&change.to_string());
        }
        anyhow::ensure!(
            fold.version().number == CHANGES + 1,
            "a change is not accepted"
        );
        points.push((endpoints as f64, micros(start.elapsed()) / CHANGES as f64));
    }
    print(
        "change beside 1,700 teams, fold",
        "µs for each endpoint",
        &points,
    );
    Ok(())
}

fn sizes(what: &str, sizes: &[usize], make: impl Fn(usize) -> Document) -> anyhow::Result<()> {
    let (mut bytes, mut times, mut memory) = (Vec::new(), Vec::new(), Vec::new());
    let mut kept = Vec::new();
    for size in sizes {
        let text = record(&make(*size))?;
        let x = *size as f64;
        bytes.push((x, text.len() as f64));
        let best = (0..5).map(|_| fold(&text).0).fold(f64::MAX, f64::min);
        times.push((x, best));
        // The first half uses up memory that was freed before.
        let mut held: Vec<_> = (0..COPIES).map(|_| fold(&text).1).collect();
        let before = own_memory()?;
        held.extend((0..COPIES).map(|_| fold(&text).1));
        memory.push((x, (own_memory()? - before) / COPIES as f64));
        kept.push(held);
    }
    print(
        &format!("{what} in the document, text"),
        "bytes each",
        &bytes,
    );
    print(&format!("{what} in the document, fold"), "µs each", &times);
    print(
        &format!("{what} in the document, memory"),
        "bytes each",
        &memory,
    );
    Ok(())
}

/// Folds one record and returns the time in microseconds.
fn fold(text: &SmolStr) -> (f64, Fold) {
    let mut fold = Fold::default();
    let start = Instant::now();
    let _ = fold.apply(text);
    let time = micros(start.elapsed());
    assert_eq!(fold.version().number, 1, "the record is not accepted");
    (time, fold)
}

fn record(document: &Document) -> anyhow::Result<SmolStr> {
    let record = serde_json::json!({ "number": 1, "document": document });
    Ok(SmolStr::new(serde_json::to_string(&record)?))
}

fn document(teams: usize, endpoints: usize) -> Document {
    let zone = |i: usize| format_smolstr!("zone-{}", i % 9);
    let zones = (0..9).map(|i| {
        let region = format_smolstr!("region-{}", i % 4);
        let state = ZoneState::In;
        (zone(i), Zone { region, state })
    });
    let services = (0..9).map(|i| {
        let route = Route {
            method: None,
            path: format_smolstr!("/v1/model-{i}"),
            repeatable: true,
            priority: conf::Priority::Normal,
        };
        let service = Service {
            kind: ServiceKind::Plain,
            routes: vec![route],
        };
        (format_smolstr!("model-{i}"), service)
    });
    Document {
        schema: SCHEMA,
        zones: zones.collect(),
        services: services.collect(),
        groups: BTreeMap::new(),
        endpoints: (0..endpoints).map(|i| endpoint(i, zone(i))).collect(),
        teams: (0..teams).map(team).collect(),
        policy: Policy::default(),
    }
}

fn endpoint(index: usize, zone: SmolStr) -> (SmolStr, Endpoint) {
    let [_, high, mid, low] = u32::try_from(index + 1).unwrap_or(0).to_be_bytes();
    let endpoint = Endpoint {
        zone,
        service: format_smolstr!("model-{}", index % 9),
        agent: ([10, high, mid, low], 7100).into(),
        group: None,
        ranks: Vec::new(),
        leaving: false,
        limit: Limit { cold: 2, full: 24 },
    };
    (format_smolstr!("endpoint-{index}"), endpoint)
}

fn team(index: usize) -> (SmolStr, Team) {
    let key = format!("key-{index}");
    let team = Team {
        keys: vec![TeamKey::new(&key).digest()],
        weight: 1,
        rate: Some(100),
    };
    (format_smolstr!("team-{index}"), team)
}

/// Time to find the team of a key, by the number of teams.
pub(crate) fn keys() {
    let mut points = Vec::new();
    for teams in [100, 400, 1700] {
        let document = document(teams, 1);
        let rounds = 200;
        let start = Instant::now();
        for _ in 0..rounds {
            black_box(TeamKey::new("key-7").team(&document));
        }
        points.push((teams as f64, micros(start.elapsed()) / f64::from(rounds)));
    }
    print("team at authentication, time", "µs a request each", &points);
}

/// Time and memory of one run record with a short answer.
pub(crate) fn records() -> anyhow::Result<()> {
    let (mut times, mut memory) = (Vec::new(), Vec::new());
    for count in [20_000, 50_000, 100_000] {
        let before = own_memory()?;
        let start = Instant::now();
        let ledger = ledger::filled(count)?;
        times.push((count as f64, micros(start.elapsed())));
        memory.push((count as f64, own_memory()? - before));
        black_box(&ledger);
        // Kept, so that the next size does not use memory that this one has freed.
        std::mem::forget(ledger);
    }
    print("run record, time", "µs a run", &times);
    print("run record, memory", "bytes each", &memory);
    Ok(())
}

fn micros(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}

mod ledger;
