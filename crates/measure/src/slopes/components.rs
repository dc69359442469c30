use std::{collections::BTreeMap, hint::black_box, time::Duration};

use conf::{
    Document, Endpoint, Fold, Limit, Policy, Route, SCHEMA, Service, ServiceKind, Team, TeamKey,
    Zone, ZoneState,
};
use event::{Kind, MAX_EVENTS, Recorder};
use smol_str::{SmolStr, format_smolstr};
use tokio::time::Instant;

use super::{fit::print_fit, usage::own_resident_bytes};

/// Number of copies of a document over which its memory is averaged.
const DOCUMENT_COPIES: usize = 8;
/// Number of changes over which the time of a fold is averaged.
const FOLDED_CHANGES: u64 = 20;

/// Measures the time and memory to record an event.
pub(crate) fn measure_events() -> anyhow::Result<()> {
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
    print_fit("event, time", "µs an event", &points);
    let mut points = Vec::new();
    let mut recorders = Vec::new();
    let before = own_resident_bytes()?;
    for _ in 0..4 {
        for _ in 0..16 {
            let recorder = Recorder::new("p".into());
            (0..MAX_EVENTS).for_each(|_| recorder.record(Some(&request), kind()));
            recorders.push(recorder);
        }
        points.push((
            (recorders.len() * MAX_EVENTS) as f64,
            own_resident_bytes()? - before,
        ));
    }
    print_fit("event, memory", "bytes an event", &points);
    Ok(())
}

/// Measures the size of a document, the time to fold it and its memory, by the number of teams and
/// of endpoints.
pub(crate) fn measure_documents() -> anyhow::Result<()> {
    measure_document_sizes("team", &[100, 400, 1700], |n| document(n, 16))?;
    measure_document_sizes("endpoint", &[100, 1000, 5800], |n| document(16, n))?;
    let text = record_text(&document(1700, 5800))?;
    let times = (0..5).map(|_| time_fold(&text).0).collect::<Vec<_>>();
    let fastest = times.iter().copied().fold(f64::MAX, f64::min);
    println!(
        "document of 1,700 teams and 5,800 endpoints: {} bytes, folded whole in {fastest:.0} µs",
        text.len()
    );
    Ok(())
}

/// Measures the time to fold a change of one endpoint, by the number of endpoints in the document.
pub(crate) fn measure_changes() -> anyhow::Result<()> {
    let mut points = Vec::new();
    for endpoints in [100, 1000, 5800] {
        let mut fold = time_fold(&record_text(&document(1700, endpoints))?).1;
        let start = Instant::now();
        for base in 1..=FOLDED_CHANGES {
            let leaving = base % 2 == 1;
            let patch =
                serde_json::json!({ "endpoints": { "endpoint-0": { "leaving": leaving } } });
            let change = serde_json::json!({ "base": base, "patch": patch });
            let _ = fold.apply(&change.to_string());
        }
        anyhow::ensure!(
            fold.version().number == FOLDED_CHANGES + 1,
            "a change was rejected"
        );
        points.push((
            endpoints as f64,
            micros(start.elapsed()) / FOLDED_CHANGES as f64,
        ));
    }
    print_fit(
        "change beside 1,700 teams, fold",
        "µs for each endpoint",
        &points,
    );
    Ok(())
}

fn measure_document_sizes(
    subject: &str,
    sizes: &[usize],
    build: impl Fn(usize) -> Document,
) -> anyhow::Result<()> {
    let (mut bytes, mut times, mut memory) = (Vec::new(), Vec::new(), Vec::new());
    let mut kept = Vec::new();
    for size in sizes {
        let text = record_text(&build(*size))?;
        let size = *size as f64;
        bytes.push((size, text.len() as f64));
        let fastest = (0..5).map(|_| time_fold(&text).0).fold(f64::MAX, f64::min);
        times.push((size, fastest));
        // The first copies take up memory that earlier sizes freed, so that only the later ones
        // increase the resident memory.
        let mut folds: Vec<_> = (0..DOCUMENT_COPIES).map(|_| time_fold(&text).1).collect();
        let before = own_resident_bytes()?;
        folds.extend((0..DOCUMENT_COPIES).map(|_| time_fold(&text).1));
        memory.push((
            size,
            (own_resident_bytes()? - before) / DOCUMENT_COPIES as f64,
        ));
        kept.push(folds);
    }
    print_fit(
        &format!("{subject} in the document, text"),
        "bytes each",
        &bytes,
    );
    print_fit(
        &format!("{subject} in the document, fold"),
        "µs each",
        &times,
    );
    print_fit(
        &format!("{subject} in the document, memory"),
        "bytes each",
        &memory,
    );
    Ok(())
}

/// Folds one record and returns the time in microseconds and the fold.
fn time_fold(text: &SmolStr) -> (f64, Fold) {
    let mut fold = Fold::default();
    let start = Instant::now();
    let _ = fold.apply(text);
    let elapsed = micros(start.elapsed());
    assert_eq!(fold.version().number, 1, "the record was rejected");
    (elapsed, fold)
}

/// Returns the text of a record that publishes a whole document.
fn record_text(document: &Document) -> anyhow::Result<SmolStr> {
    let record = serde_json::json!({ "number": 1, "document": document });
    Ok(SmolStr::new(serde_json::to_string(&record)?))
}

/// Returns a document with so many teams and endpoints.
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

/// Measures the time to find the team of a key, by the number of teams.
pub(crate) fn measure_keys() {
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
    print_fit("team at authentication, time", "µs a request each", &points);
}

/// Measures the time and memory of a run record with a short answer.
pub(crate) fn measure_records() -> anyhow::Result<()> {
    let (mut times, mut memory) = (Vec::new(), Vec::new());
    for count in [20_000, 50_000, 100_000] {
        let before = own_resident_bytes()?;
        let start = Instant::now();
        let records = records::filled(count)?;
        times.push((count as f64, micros(start.elapsed())));
        memory.push((count as f64, own_resident_bytes()? - before));
        black_box(&records);
        // Leaked, so that the next size cannot reuse its memory.
        std::mem::forget(records);
    }
    print_fit("run record, time", "µs a run", &times);
    print_fit("run record, memory", "bytes each", &memory);
    Ok(())
}

fn micros(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}

mod records;
