//! Clients that nobody controls fill the memory of entries; the platform ends a process that exceeds it.

use std::{
    collections::HashSet,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Setup, Verdict,
    entry::{Entry, Machine},
    http::Connection,
    record::Record,
    store::Store,
};

/// Smallest entry machine of the site.
const MACHINE: Machine = Machine {
    memory_mb: 112,
    descriptors: 2870,
};
/// Limit in bytes, in the larger of the two meanings of a megabyte.
const LIMIT: u64 = MACHINE.memory_mb << 20;
/// Model servers, and the requests that each runs at once.
const SERVERS: usize = 72;
const SLOTS: usize = 10;
/// Duration of a stream, and the time between two of its events.
const STREAM_TIME: Duration = Duration::from_secs(7);
const EVENT_INTERVAL: Duration = Duration::from_millis(100);
/// Connections of the crowd, and the numbers of them that send a body of 4 MiB and of 64 KiB.
const CROWD: usize = 640;
const LARGE: usize = 5;
const MEDIUM: usize = 145;
/// Bytes that each client of the crowd sends beyond its request.
const BEYOND: usize = 65_536;
/// Entries, the ends of a process that the rule counts, and the largest number of attempts for them.
const ENTRIES: u8 = 2;
const ENDS: usize = 3;
const ATTEMPTS: usize = 5;
/// Time for which the memory is watched in one attempt.
const WATCH_TIME: Duration = Duration::from_secs(3);

pub fn run(setup: &Setup) -> Verdict {
    let (store, record) = (Store::default(), setup.record.clone());
    let configuration = r#"{"version":1,"routes":[
        {"name":"drafts","host":"h.example","prefix":"/drafts/","kind":"streaming","timeout_ms":8000,"target_latency_ms":400,
         "target_gap_ms":120,"service":"assistant","max_attempts":2,"priority":0,"sticky":true,"stream_resume":true},
        {"name":"tags","host":"h.example","prefix":"/tags/","kind":"non_idempotent","timeout_ms":1200,"target_latency_ms":120,
         "service":"registry","max_attempts":2,"priority":0}],
        "services":[{"name":"assistant","max_conns":1091,"health_path":"/health","engine":{"slots":10,"stride":7,"step_ms":4.84,
         "per_seq_ms":0.3,"read_per_s":74800.0}},{"name":"registry","max_conns":915,"health_path":"/health"}],
        "tenants":[{"name":"team","api_keys":["key"]},{"name":"crowd","api_keys":["crowd"]}],
        "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;
    store.put("op/config", Some(configuration.to_owned()));
    let ran: Arc<Mutex<HashSet<String>>> = Arc::default();
    for number in 0..SERVERS {
        start_server(&store, "assistant", number, SLOTS, serve_stream);
    }
    for number in 0..3 {
        let ran = ran.clone();
        start_server(&store, "registry", number, 6, move |connection, request| {
            ran.lock().unwrap().insert(request.to_owned());
            thread::sleep(Duration::from_millis(60));
            let text = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nResponse-Stamp: r.{request}\r\nContent-Length: 4\r\n\r\ndone"
            );
            connection.write(text.as_bytes()).is_ok()
        });
    }
    let mut entries = Entry::start_all(setup, store.start(), MACHINE, ENTRIES);
    thread::sleep(Duration::from_secs(3));
    let addresses: Vec<SocketAddr> = entries.iter().map(|entry| entry.clients).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..6)
        .map(|caller| {
            let (addresses, record, ran, stop) =
                (addresses.clone(), record.clone(), ran.clone(), stop.clone());
            thread::spawn(move || order_tags(caller, &addresses, &record, &ran, &stop))
        })
        .collect();
    let mut ends = vec![0; entries.len()];
    for _ in 0..ATTEMPTS {
        for (number, entry) in entries.iter_mut().enumerate() {
            if ends[number] >= ENDS {
                continue;
            }
            let crowd = match setup.trouble {
                true => send_crowd(entry.clients),
                false => Vec::new(),
            };
            record.line(format!(
                "{} clients of the crowd are connected to entry {number}",
                crowd.len()
            ));
            if exceeds(entry, number, &record) {
                ends[number] += 1;
                record.line(format!(
                    "the platform ends entry {number}, as its memory is exceeded"
                ));
                entry.restart();
            }
            drop(crowd);
            thread::sleep(Duration::from_secs(1));
        }
        if !setup.trouble {
            break;
        }
    }
    stop.store(true, Ordering::Relaxed);
    let lost: usize = callers
        .into_iter()
        .map(|caller| caller.join().unwrap_or(0))
        .sum();
    record.line(format!(
        "processes were ended {ends:?} times; {lost} orders of tags ran and got no answer"
    ));
    match ends.iter().all(|ends| *ends >= ENDS) {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// Watches the memory of an entry; returns whether it exceeds the limit.
fn exceeds(entry: &Entry, number: usize, record: &Record) -> bool {
    let (started, mut highest) = (Instant::now(), (0, 0));
    while started.elapsed() < WATCH_TIME {
        let (own, unread) = entry.memory();
        if own + unread > highest.0 + highest.1 {
            highest = (own, unread);
        }
        if own + unread > LIMIT {
            break;
        }
        thread::sleep(Duration::from_millis(100));
    }
    let (own, unread) = highest;
    record.line(format!(
        "entry {number}: {own} bytes of memory and {unread} unread, {LIMIT} allowed"
    ));
    own + unread > LIMIT
}

/// Starts a server that calls `answer` with each request's id, until that returns false.
pub fn start_server(
    store: &Store,
    service: &str,
    number: usize,
    slots: usize,
    answer: impl Fn(&mut Connection, &str) -> bool + Clone + Send + 'static,
) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().unwrap();
    let zone = ["zone-a", "zone-b", "zone-c"][number % 3];
    let entry = format!(
        r#"{{"service":"{service}","addr":"{address}","zone":"{zone}","version":1,"slots":{slots},"state":"ready","cold_left_ms":0,"seq":1,"born":1700000000000}}"#
    );
    store.put(&format!("servers/i-{service}-{number}"), Some(entry));
    let serve = move |stream: TcpStream| {
        let mut connection = Connection::new(stream);
        while let Ok(head) = connection.read_head() {
            let request = head.get("request-id").unwrap_or_default().to_owned();
            if connection.read_body(&head).is_err() || !answer(&mut connection, &request) {
                return;
            }
        }
    };
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || serve(stream));
        }
    });
}

/// Writes a stream, an event at a time.
pub fn serve_stream(connection: &mut Connection, request: &str) -> bool {
    let mut text = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: {request}\r\nResponse-Stamp: a.{request}\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    );
    let events = STREAM_TIME.as_millis() / EVENT_INTERVAL.as_millis();
    for event in 1..=events {
        let data = format!("id: {event}\ndata: seven tokens of the answer to {request}\n\n");
        text += &format!("{:x}\r\n{data}\r\n", data.len());
        if connection.write(text.as_bytes()).is_err() {
            return false;
        }
        text.clear();
        thread::sleep(EVENT_INTERVAL);
    }
    connection.write(b"0\r\n\r\n").is_ok()
}

/// Connects the crowd and sends its requests; each is inside the limits but for the bytes beyond it.
fn send_crowd(address: SocketAddr) -> Vec<Connection> {
    let names: Vec<String> = (0..92)
        .map(|number| format!("X-{number:03}-{}", "n".repeat(165)))
        .collect();
    let headers: String = names.iter().map(|name| format!("{name}: v\r\n")).collect();
    let (mut crowd, beyond) = (Vec::new(), "b".repeat(BEYOND));
    for client in 0..CROWD {
        let length = match client {
            _ if client < LARGE => 4 << 20,
            _ if client < LARGE + MEDIUM => 64 << 10,
            _ => 16 << 10,
        };
        let request = format!(
            "POST /drafts/{client} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: x{client}\r\nToken-Usage: 800,490\r\n\
             Deadline-Ms: 8000\r\nX-Api-Key: crowd\r\n{headers}Content-Length: {length}\r\n\r\n{}{beyond}",
            "p".repeat(length)
        );
        let Ok(mut connection) = Connection::connect(address, Duration::from_secs(1)) else {
            continue;
        };
        let _ = connection
            .stream
            .set_write_timeout(Some(Duration::from_millis(100)));
        let _ = connection.write(request.as_bytes());
        crowd.push(connection);
    }
    crowd
}

/// Orders tags at one entry after the other; returns how many orders ran and got no answer.
fn order_tags(
    caller: usize,
    addresses: &[SocketAddr],
    record: &Record,
    ran: &Mutex<HashSet<String>>,
    stop: &AtomicBool,
) -> usize {
    let (mut lost, mut count) = (0, 0);
    while !stop.load(Ordering::Relaxed) {
        count += 1;
        let id = format!("o{caller}-{count}");
        let request = format!(
            "POST /tags/{id} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 1200\r\nX-Api-Key: key\r\n\
             Content-Length: 3\r\n\r\ntag"
        );
        let exchange = || {
            let mut connection = Connection::connect(
                addresses[(caller + count) % addresses.len()],
                Duration::from_secs(1),
            )?;
            connection
                .stream
                .set_read_timeout(Some(Duration::from_millis(1200)))?;
            connection.write(request.as_bytes())?;
            connection.read_answer()
        };
        let status = exchange().map_or(0, |(head, _)| head.status());
        let has_run = ran.lock().unwrap().contains(&id);
        if status == 0 && has_run {
            lost += 1;
            record.line(format!("order {id} ran and got no answer"));
        } else if status != 200 {
            record.line(format!("order {id} answered {status}, ran: {has_run}"));
        }
        thread::sleep(Duration::from_millis(20));
    }
    lost
}
