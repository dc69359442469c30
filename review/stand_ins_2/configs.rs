//! Case: configurations in quick succession after the configuration has grown.

use std::{
    fmt::Write as _,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome, Trial,
    fleet::{self, Entry},
    http::Connection,
    server::{self, Runs},
    store::Store,
};

/// Routes of the first configuration without traffic.
const IDLE_ROUTES: usize = 120;
/// Routes by which the configuration grows (`big_config`, at most 1,400 each).
const GROWTH: [usize; 3] = [1400, 1400, 840];
/// Changes in quick succession (`config_storm`: a change each 0.06 s for 1.5 s).
const STORM_GAP: Duration = Duration::from_millis(60);
const STORM_CHANGES: usize = 25;
/// `config_apply_ms` of the sheet that names these figures.
const APPLY_TIME: Duration = Duration::from_millis(4000);
/// Time after the last change for which requests are sent.
const WATCHED: Duration = Duration::from_secs(16);
const KEPT_KEY: &str = "n2ctnfzs989anu6wsjnb";
const REVOKED_KEY: &str = "anfqasnmgkcuyj8pjbvk";

struct Answer {
    sent: Instant,
    entry: String,
    id: String,
    is_revoked: bool,
    status: u16,
}

/// Returns a configuration; `touched` changes the timeout of a route without traffic.
fn configuration(version: usize, idle_routes: usize, touched: usize, is_revoked: bool) -> String {
    let mut routes = String::new();
    let _ = write!(
        routes,
        r#"{{"name":"r-2yhvz3p","host":"ficu95.example","prefix":"/cufi504/","kind":"idempotent","timeout_ms":800,"target_latency_ms":100,"priority":2,"service":"wuno96b","max_attempts":2,"public":false,"sticky":false,"stream_resume":false}}"#
    );
    for number in 0..idle_routes {
        let timeout = if number == 0 { 1500 + touched } else { 1500 };
        let _ = write!(
            routes,
            r#",{{"name":"r-idle{number:07}","host":"idle{:04}.example","prefix":"/idle{number:07}/","kind":"idempotent","timeout_ms":{timeout},"target_latency_ms":100,"priority":2,"service":"wuno96b","max_attempts":2,"public":false,"sticky":false,"stream_resume":false}}"#,
            number % 40
        );
    }
    let revoked = if is_revoked {
        String::new()
    } else {
        format!(r#","{REVOKED_KEY}""#)
    };
    format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[{{"name":"wuno96b","health_path":"/health","max_conns":400,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"hule930","api_keys":["{KEPT_KEY}"{revoked}],"priority":1}}]}}"#
    )
}

/// Sends a request with each of both keys to an entry, five times a second.
fn send_requests(
    entry: &Entry,
    answers: Arc<Mutex<Vec<Answer>>>,
    stop: Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    let (name, address) = (entry.name.clone(), entry.address);
    thread::spawn(move || {
        let mut number = 0;
        while !stop.load(Ordering::Relaxed) {
            for is_revoked in [false, true] {
                number += 1;
                let key = if is_revoked { REVOKED_KEY } else { KEPT_KEY };
                let id = format!("{name}-{number}");
                let request = format!(
                    "GET /cufi504/{number} HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 1500\r\nX-Api-Key: {key}\r\n\r\n"
                );
                let sent = Instant::now();
                let response = Connection::connect(address, Duration::from_secs(2)).and_then(
                    |mut connection| {
                        connection.write(request.as_bytes())?;
                        connection.read_message()
                    },
                );
                let status = response
                    .ok()
                    .flatten()
                    .map_or(0, |response| response.status());
                answers.lock().expect("answers").push(Answer {
                    sent,
                    entry: name.clone(),
                    id,
                    is_revoked,
                    status,
                });
            }
            thread::sleep(Duration::from_millis(200));
        }
    })
}

/// Plays the case.
pub fn play(trial: &Trial) -> Outcome {
    let Trial {
        record,
        folder,
        trouble,
    } = trial;
    let (store, runs) = (Store::default(), Runs::default());
    let zones = ["soweto", "tembisa", "midrand"];
    for (number, zone) in zones.iter().enumerate() {
        server::start(&store, &runs, "wuno96b", zone, number, None);
    }
    let (mut version, mut routes) = (3, IDLE_ROUTES);
    store.put("op/config", Some(&configuration(version, routes, 0, false)));
    let Some(entries) = fleet::start(store.start(), &zones, folder) else {
        return Outcome::Invalid;
    };
    record.line(&format!("{} entries are ready", entries.len()));
    thread::sleep(Duration::from_secs(3));
    for growth in GROWTH {
        (version, routes) = (version + 4, routes + growth);
        let value = configuration(version, routes, 0, false);
        store.put("op/config", Some(&value));
        record.line(&format!(
            "version {version} is acknowledged: {routes} idle routes, {} bytes",
            value.len()
        ));
        thread::sleep(Duration::from_secs(3));
    }
    let answers = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = entries
        .iter()
        .map(|entry| send_requests(entry, Arc::clone(&answers), stop.clone()))
        .collect();
    thread::sleep(Duration::from_secs(4));
    let changes = if *trouble { STORM_CHANGES } else { 1 };
    let values: Vec<String> = (1..=changes)
        .map(|number| configuration(version + 3 * number, routes, number, false))
        .collect();
    version += 3 * changes;
    let start = Instant::now();
    for (value, number) in values.iter().zip(0..) {
        thread::sleep((start + STORM_GAP * number).saturating_duration_since(Instant::now()));
        store.put("op/config", Some(value));
    }
    record.line(&format!(
        "{changes} changes up to version {version} are acknowledged within {} ms",
        start.elapsed().as_millis()
    ));
    thread::sleep(Duration::from_millis(500));
    version += 2;
    let revoked_at = store.put(
        "op/config",
        Some(&configuration(version, routes, changes, true)),
    );
    record.line(&format!(
        "version {version} is acknowledged: a key is taken away"
    ));
    thread::sleep(WATCHED);
    stop.store(true, Ordering::Relaxed);
    clients
        .into_iter()
        .for_each(|client| client.join().expect("client"));

    let answers = answers.lock().expect("answers");
    let ran: std::collections::HashSet<String> = runs.all().into_iter().map(|run| run.id).collect();
    for answer in answers.iter() {
        let key = if answer.is_revoked {
            "key taken away later"
        } else {
            "key kept"
        };
        let ran = if ran.contains(&answer.id) {
            "ran"
        } else {
            "did not run"
        };
        record.line_at(
            answer.sent,
            &format!(
                "{} sent to {}, {key}: {}, {ran}",
                answer.id, answer.entry, answer.status
            ),
        );
    }
    let served = answers
        .iter()
        .filter(|a| a.sent < start && a.status == 200)
        .count();
    let late: Vec<&Answer> = answers
        .iter()
        .filter(|a| a.is_revoked && a.sent > revoked_at + APPLY_TIME)
        .collect();
    let wrong: Vec<&&Answer> = late
        .iter()
        .filter(|a| a.status == 200 && ran.contains(&a.id))
        .collect();
    let last = wrong
        .iter()
        .map(|a| a.sent.duration_since(revoked_at))
        .max()
        .unwrap_or_default();
    for entry in &entries {
        let failed = entry.log_lines("call to the store failed");
        if let Some(line) = failed.last() {
            record.line(&format!(
                "{}: {} failed calls to the store, the last: {line}",
                entry.name,
                failed.len()
            ));
        }
    }
    let result = format!(
        "{} of {} requests ran with the key sent over {} ms after it was taken away, the last {:.1} s after; {served} served before",
        wrong.len(),
        late.len(),
        APPLY_TIME.as_millis(),
        last.as_secs_f64()
    );
    record.line(&result);
    println!("{result}");
    if served == 0 || late.is_empty() {
        return Outcome::Invalid;
    }
    if wrong.is_empty() {
        Outcome::Held
    } else {
        Outcome::Broken
    }
}
