//! Case: servers turn cold again while the store is down.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome, Trial, fleet,
    http::Connection,
    server::{self, Runs},
    store::Store,
};

/// `cold_start_s` and `cold_per_s` of the sheet's site file, and its bounds `cold_overshoot` and `cold_slack`.
const COLD_TIME: Duration = Duration::from_secs(3);
const COLD_RATE: f64 = 38.0;
const OVERSHOOT: f64 = 1.5;
const SLACK: f64 = 5.0;
/// Length of the outage of the store (`platform_down`, `for_s`).
const OUTAGE: Duration = Duration::from_millis(4500);
/// Time between the servers that turn cold.
const COLD_GAP: Duration = Duration::from_millis(800);
/// Clients of each entry, and time between two requests of one.
const CLIENTS: usize = 12;
const INTERVAL: Duration = Duration::from_millis(100);
const SERVICE: &str = "wuno96b";

fn configuration() -> String {
    format!(
        r#"{{"version":3,"routes":[{{"name":"r-2yhvz3p","host":"ficu95.example","prefix":"/cufi504/","kind":"idempotent","timeout_ms":1500,"target_latency_ms":100,"priority":2,"service":"{SERVICE}","max_attempts":2,"public":false,"sticky":false,"stream_resume":false}}],"services":[{{"name":"{SERVICE}","health_path":"/health","max_conns":400,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":{COLD_RATE}}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"],"priority":1}}]}}"#
    )
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
    let servers: Vec<_> = (0..)
        .zip(zones)
        .map(|(number, zone)| server::start(&store, &runs, SERVICE, zone, number, None))
        .collect();
    store.put("op/config", Some(&configuration()));
    let Some(entries) = fleet::start(store.start(), &zones, folder) else {
        return Outcome::Invalid;
    };
    record.line(&format!("{} entries are ready", entries.len()));
    thread::sleep(Duration::from_secs(6));
    let stop = Arc::new(AtomicBool::new(false));
    let (sent, served) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let times = Arc::new(Mutex::new(std::collections::HashMap::new()));
    let clients: Vec<_> = entries
        .iter()
        .flat_map(|entry| (0..CLIENTS).map(move |client| (entry.name.clone(), entry.address, client)))
        .map(|(name, address, client)| {
            let (stop, sent, served, times) =
                (stop.clone(), sent.clone(), served.clone(), times.clone());
            thread::spawn(move || {
                let mut connection = None;
                for number in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = format!("{name}-{client}-{number}");
                    let request = format!(
                        "GET /cufi504/{number} HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 1500\r\nX-Api-Key: n2ctnfzs989anu6wsjnb\r\n\r\n"
                    );
                    let start = Instant::now();
                    let mut status = 0;
                    sent.fetch_add(1, Ordering::Relaxed);
                    let kept: Option<Connection> = connection.take();
                    let kept = kept.or_else(|| Connection::connect(address, Duration::from_secs(2)).ok());
                    if let Some(mut kept) = kept
                        && kept.write(request.as_bytes()).is_ok()
                        && let Ok(Some(response)) = kept.read_message()
                    {
                        status = response.status();
                        served.fetch_add(usize::from(status == 200), Ordering::Relaxed);
                        let closes = response.header("connection") == Some("close");
                        connection = (response.is_whole && !closes).then_some(kept);
                    }
                    times.lock().expect("times").insert(id, (start, status));
                    thread::sleep(INTERVAL.saturating_sub(start.elapsed()));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    if *trouble {
        store.set_down(true);
        record.line("the store is down");
    }
    let outage_end = Instant::now() + OUTAGE;
    thread::sleep(Duration::from_millis(500));
    let mut cold_at = Vec::new();
    for server in &servers {
        cold_at.push(Instant::now());
        server.turn_cold(COLD_TIME);
        // A store that is down takes no registration; the server writes it once the store is back.
        if !trouble {
            server.register(&store);
        }
        record.line(&format!(
            "{} turns cold, and says so in its health answers",
            server.id
        ));
        thread::sleep(COLD_GAP);
    }
    thread::sleep(outage_end.saturating_duration_since(Instant::now()));
    if *trouble {
        store.set_down(false);
        servers.iter().for_each(|server| server.register(&store));
        record.line("the store is back");
    }
    thread::sleep(Duration::from_secs(1));
    stop.store(true, Ordering::Relaxed);
    clients
        .into_iter()
        .for_each(|client| client.join().expect("client"));

    let bound = COLD_RATE * OVERSHOOT + SLACK;
    let times = times.lock().expect("times");
    let all = runs.all();
    let ran: std::collections::HashMap<&str, &str> = all
        .iter()
        .map(|run| (run.id.as_str(), run.server.as_str()))
        .collect();
    let mut answers: Vec<_> = times.iter().collect();
    answers.sort_by_key(|(_, (start, _))| *start);
    for (id, (start, status)) in answers {
        let server = ran.get(id.as_str()).unwrap_or(&"no server");
        record.line_at(*start, &format!("{id} sent: {status}, ran at {server}"));
    }
    let mut most = 0;
    for (server, cold_at) in servers.iter().zip(cold_at) {
        let cold_until = cold_at + COLD_TIME;
        let mut arrivals: Vec<(Instant, Instant)> = all
            .iter()
            .filter(|run| run.server == server.id && run.at >= cold_at && run.at < cold_until)
            .filter_map(|run| Some((run.at, times.get(&run.id)?.0)))
            .collect();
        arrivals.sort();
        // Requests that were sent and arrived inside one second.
        let inside = |start: &Instant| {
            let end = *start + Duration::from_secs(1);
            let counted = arrivals
                .iter()
                .filter(|(at, sent)| sent >= start && *at < end);
            counted.count()
        };
        let largest = arrivals
            .iter()
            .map(|(_, sent)| inside(sent))
            .max()
            .unwrap_or(0);
        record.line(&format!(
            "{}: at most {largest} requests in a second while cold, {bound} allowed; {} in all",
            server.id,
            arrivals.len()
        ));
        most = most.max(largest);
    }
    let (sent, served) = (sent.load(Ordering::Relaxed), served.load(Ordering::Relaxed));
    let result = format!(
        "at most {most} requests in a second at a cold server, {bound} allowed; {served} of {sent} requests served"
    );
    record.line(&result);
    println!("{result}");
    match (served, most as f64 > bound) {
        (0, _) => Outcome::Invalid,
        (_, true) => Outcome::Broken,
        (_, false) => Outcome::Held,
    }
}
