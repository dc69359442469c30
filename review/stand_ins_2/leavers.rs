//! Case: a request that crashes servers, whose client leaves before the crash.

use std::{
    io::ErrorKind,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome, Trial, fleet,
    http::Connection,
    record::Record,
    server::{self, Runs},
    store::Store,
};

const SERVICE: &str = "huvo11a";
pub const SERVERS: usize = 6;
/// Servers, from the first on, that go on with a request whose connection closes; the others drop it.
const PERSISTENT: usize = 2;
/// Time from the begin of a run of the request until the server ends.
const CRASH_AFTER: Duration = Duration::from_millis(400);
/// Time until a server is back, under a new id.
const RESTART_TIME: Duration = Duration::from_secs(2);
/// Time after which the client leaves: half the objective of 400 ms (`give_up`).
const LEAVES_AFTER: Duration = Duration::from_millis(200);
/// Times in which clients leave (`give_up`, 5.5 s at most), and time between two of them, in which the request does not come.
const SPANS: usize = 4;
const SPAN: Duration = Duration::from_millis(5500);
const PAUSE: Duration = Duration::from_secs(3);
/// Time between two times that the request comes.
const INTERVAL: Duration = Duration::from_millis(700);
/// Clients that stay, beside the one that leaves (share 0.3 at most).
const STAYING: usize = 3;
/// `contact_ms` of the sheet, and the retries that the rule allows.
const CONTACT_TIME: Duration = Duration::from_millis(3000);
pub const ALLOWED: usize = 3;
/// Path of the request that crashes servers.
const POISON: &str = "/lohu930/poison";

pub fn configuration() -> String {
    format!(
        r#"{{"version":3,"routes":[{{"name":"r-2yhvz3p","host":"ficu95.example","prefix":"/lohu930/","kind":"streaming","timeout_ms":8000,"target_latency_ms":400,"priority":1,"service":"{SERVICE}","max_attempts":2,"public":false,"sticky":true,"stream_resume":true,"target_gap_ms":120}}],"services":[{{"name":"{SERVICE}","health_path":"/health","max_conns":400,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"],"priority":1}}]}}"#
    )
}

/// Crash of a server.
#[derive(Default)]
pub struct Crashes(Mutex<Vec<Instant>>);

/// Runs a server that ends under the request and comes back, until the case ends.
pub fn run_server(
    number: usize,
    zone: &'static str,
    store: Store,
    runs: Runs,
    crashes: Arc<Crashes>,
) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("port of a server");
    let address = listener.local_addr().expect("address of a server");
    let mut listener = Some(listener);
    thread::spawn(move || {
        for start in 0.. {
            let id = format!("i-{SERVICE}{number}-{start}");
            let key = format!("servers/{id}");
            let born = server::now_ms();
            let bound = listener.take().unwrap_or_else(|| bind(address));
            let registration = format!(
                r#"{{"service":"{SERVICE}","addr":"{address}","zone":"{zone}","version":"v1","slots":12,"state":"ready","cold_left_ms":0,"seq":1,"born":{born}}}"#
            );
            store.put(&key, Some(&registration));
            serve_until_crash(bound, &id, number < PERSISTENT, &runs);
            crashes.0.lock().expect("crashes").push(Instant::now());
            thread::sleep(RESTART_TIME);
            store.put(&key, None);
        }
    });
}

fn bind(address: SocketAddr) -> TcpListener {
    loop {
        if let Ok(listener) = TcpListener::bind(address) {
            return listener;
        }
        thread::sleep(Duration::from_millis(5));
    }
}

/// Serves until a run of the request ends the server; then all connections end.
fn serve_until_crash(listener: TcpListener, id: &str, is_persistent: bool, runs: &Runs) {
    let crashed = Arc::new(AtomicBool::new(false));
    let mut open: Vec<TcpStream> = Vec::new();
    listener.set_nonblocking(true).expect("listener");
    while !crashed.load(Ordering::Relaxed) {
        match listener.accept() {
            Ok((stream, _)) => {
                let _ = stream.set_nonblocking(false);
                open.extend(stream.try_clone());
                let (id, runs, crashed) = (id.to_owned(), runs.clone(), crashed.clone());
                thread::spawn(move || {
                    serve(Connection::new(stream), &id, is_persistent, &runs, &crashed);
                });
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => thread::sleep(Duration::from_millis(1)),
            Err(_) => return,
        }
    }
    for stream in open {
        let _ = stream.shutdown(Shutdown::Both);
    }
}

fn serve(
    mut connection: Connection,
    id: &str,
    is_persistent: bool,
    runs: &Runs,
    crashed: &AtomicBool,
) {
    while let Ok(Some(request)) = connection.read_message() {
        let own = request.header("target-instance") == Some(id);
        let text = request.header("request-id").unwrap_or_default();
        if !own {
            let headers = format!("Request-Id: {text}\r\nInstance-Id: {id}\r\n");
            if connection.respond(421, &headers, b"").is_err() {
                return;
            }
            continue;
        }
        runs.add(id, &request);
        if request.path() == POISON {
            let is_open = is_open_after(&connection.stream, CRASH_AFTER);
            crashed.fetch_or(is_open || is_persistent, Ordering::Relaxed);
            return;
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {text}\r\nResponse-Stamp: {id}.{text}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        let mut written = connection.write(head.as_bytes());
        for event in 1..=10 {
            thread::sleep(Duration::from_millis(60));
            let text = format!("id: {event}\ndata: piece {event}\n\n");
            written = written.and_then(|()| {
                connection.write(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
            });
        }
        if written
            .and_then(|()| connection.write(b"0\r\n\r\n"))
            .is_err()
        {
            return;
        }
    }
}

/// Waits, and returns whether the caller has kept its connection open until then.
fn is_open_after(stream: &TcpStream, time: Duration) -> bool {
    let end = Instant::now() + time;
    let mut is_open = true;
    loop {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return is_open;
        }
        if !is_open || stream.set_read_timeout(Some(left)).is_err() {
            thread::sleep(left);
            continue;
        }
        match stream.peek(&mut [0]) {
            Ok(0) => is_open = false,
            Ok(_) => thread::sleep(left),
            Err(e) => {
                is_open = matches!(
                    e.kind(),
                    ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
                )
            }
        }
    }
}

/// Sends the request and waits for the answer, or leaves.
pub fn send(entry: SocketAddr, id: &str, leaves: bool, record: &Record) {
    let sent = Instant::now();
    let wait = if leaves {
        LEAVES_AFTER
    } else {
        Duration::from_secs(8)
    };
    let request = format!(
        "POST {POISON} HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: {id}\r\nModel: m\r\nToken-Usage: 714,120\r\nPrompt-Prefix: 5c1e07a2:40,91bd3f06:674\r\nDeadline-Ms: 8000\r\nX-Api-Key: n2ctnfzs989anu6wsjnb\r\nContent-Length: 6\r\n\r\npoison"
    );
    let status = Connection::connect(entry, Duration::from_secs(2)).and_then(|mut connection| {
        connection.stream.set_read_timeout(Some(wait))?;
        connection.write(request.as_bytes())?;
        connection.read_head()
    });
    let seen = match status {
        Ok(Some(head)) => head.status().to_string(),
        Ok(None) => "connection closed".to_owned(),
        Err(_) => format!("left after {} ms", sent.elapsed().as_millis()),
    };
    record.line_at(sent, &format!("{id} sent to {entry}: {seen}"));
}

/// Plays the case.
pub fn play(trial: &Trial) -> Outcome {
    let Trial {
        record,
        folder,
        trouble,
    } = trial;
    let (store, runs, crashes) = (Store::default(), Runs::default(), Arc::<Crashes>::default());
    let zones = ["soweto", "tembisa", "midrand"];
    for number in 0..SERVERS {
        run_server(
            number,
            zones[number % zones.len()],
            store.clone(),
            runs.clone(),
            crashes.clone(),
        );
    }
    thread::sleep(Duration::from_millis(200));
    store.put("op/config", Some(&configuration()));
    let Some(entries) = fleet::start(store.start(), &zones, folder) else {
        return Outcome::Invalid;
    };
    record.line(&format!("{} entries are ready", entries.len()));
    thread::sleep(CONTACT_TIME + Duration::from_secs(1));
    let stop = Arc::new(AtomicBool::new(false));
    let staying: Vec<_> = (0..STAYING)
        .map(|client| {
            let (entry, stop) = (entries[client % entries.len()].address, stop.clone());
            thread::spawn(move || stay(entry, client, &stop))
        })
        .collect();
    let mut attempt = 0;
    for span in 0..SPANS {
        let begin = Instant::now();
        record.line(&format!("span {span} begins"));
        while begin.elapsed() + INTERVAL < SPAN {
            let start = Instant::now();
            let entry = entries[attempt % entries.len()].address;
            send(
                entry,
                &format!("9c41d07be2a4{attempt:04x}"),
                *trouble,
                record,
            );
            attempt += 1;
            thread::sleep(INTERVAL.saturating_sub(start.elapsed()));
        }
        thread::sleep(PAUSE);
    }
    stop.store(true, Ordering::Relaxed);
    let (mut whole, mut other) = (0, 0);
    for client in staying {
        let (own, cut) = client.join().expect("client");
        (whole, other) = (whole + own, other + cut);
    }
    record.line(&format!(
        "other clients: {whole} streams whole, {other} not"
    ));
    judge(record, &runs, &crashes, CONTACT_TIME)
}

/// Sends sound requests one after the other; returns how many answers were whole streams, and how many were not.
fn stay(entry: SocketAddr, client: usize, stop: &AtomicBool) -> (usize, usize) {
    let (mut whole, mut other) = (0, 0);
    for number in 0.. {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let request = format!(
            "POST /lohu930/{client} HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: s{client}-{number}\r\nModel: m\r\nToken-Usage: 714,120\r\nPrompt-Prefix: 5c1e07a2:40,{client}{number:04x}:674\r\nDeadline-Ms: 8000\r\nX-Api-Key: n2ctnfzs989anu6wsjnb\r\nContent-Length: 2\r\n\r\n{{}}"
        );
        let answer =
            Connection::connect(entry, Duration::from_secs(9)).and_then(|mut connection| {
                connection.write(request.as_bytes())?;
                connection.read_message()
            });
        let is_whole =
            matches!(answer, Ok(Some(answer)) if answer.status() == 200 && answer.is_whole);
        (whole, other) = (
            whole + usize::from(is_whole),
            other + usize::from(!is_whole),
        );
        thread::sleep(Duration::from_millis(100));
    }
    (whole, other)
}

/// Records what reached the servers, and checks the rule.
pub fn judge(record: &Record, runs: &Runs, crashes: &Crashes, contact: Duration) -> Outcome {
    let crashes = crashes.0.lock().expect("crashes").clone();
    crashes
        .iter()
        .for_each(|at| record.line_at(*at, "a server has ended under the request"));
    let all: Vec<_> = runs
        .all()
        .into_iter()
        .filter(|run| run.id.starts_with("9c41"))
        .collect();
    for run in &all {
        record.line_at(run.at, &format!("{} reached {}", run.id, run.server));
    }
    let third = crashes.get(2).copied();
    let late = all
        .iter()
        .filter(|run| third.is_some_and(|third| run.at > third + contact))
        .count();
    let result = format!(
        "{late} arrivals later than {} ms after the third crash, {ALLOWED} allowed; {} crashes, {} arrivals in all",
        contact.as_millis(),
        crashes.len(),
        all.len()
    );
    record.line(&result);
    println!("{result}");
    match (crashes.len(), late > ALLOWED) {
        (0, _) => Outcome::Invalid,
        (_, true) => Outcome::Broken,
        (_, false) => Outcome::Held,
    }
}
