//! Servers of a model service that crash when they begin to write an answer on one part of a prompt.

use std::{
    collections::HashSet,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{Setup, http::Connection, record::Record, store::Store};

const SERVERS: usize = 8;
/// Time after which a crashed server is back, and that of three heartbeats, after which its old entry is removed.
const RESTART_TIME: Duration = Duration::from_secs(2);
const LAPSE_TIME: Duration = Duration::from_millis(3600);
/// Id of the part.
pub const PART: &str = "dead5eed";

/// What the servers have seen.
#[derive(Default)]
pub struct Seen {
    /// Times at which requests with the part reached servers.
    pub arrivals: Mutex<Vec<Duration>>,
    /// Ids of requests without the part that a server has begun to run.
    pub begun: Mutex<HashSet<String>>,
    /// Times of crashes.
    pub crashes: Mutex<Vec<Duration>>,
}

/// Writes a configuration with a route for streams that may be resumed, and starts the servers.
pub fn start(setup: &Setup, store: &Store) -> Arc<Seen> {
    let seen = Arc::new(Seen::default());
    let configuration = r#"{"version":1,"routes":[{"name":"drafts","host":"h.example","prefix":"/drafts/","kind":"streaming",
        "timeout_ms":8000,"target_latency_ms":400,"target_gap_ms":120,"service":"inscribe","max_attempts":2,"priority":0,
        "sticky":true,"stream_resume":true}],"services":[{"name":"inscribe","max_conns":408,"health_path":"/health"}],
        "tenants":[{"name":"team","api_keys":["key"]}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
        "header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;
    store.put("op/config", Some(configuration.to_owned()));
    for number in 0..SERVERS {
        let (store, record, seen, trouble) = (
            store.clone(),
            setup.record.clone(),
            seen.clone(),
            setup.trouble,
        );
        thread::spawn(move || run_server(number, &store, &record, &seen, trouble));
    }
    thread::sleep(Duration::from_millis(300));
    seen
}

pub fn label(has_part: bool) -> &'static str {
    if has_part {
        "with the part"
    } else {
        "without the part"
    }
}

/// Server that is back under another id after each crash.
fn run_server(number: usize, store: &Store, record: &Arc<Record>, seen: &Arc<Seen>, trouble: bool) {
    let mut address: SocketAddr = "127.0.0.1:0".parse().unwrap();
    for start in 0.. {
        let Ok(listener) = TcpListener::bind(address) else {
            thread::sleep(Duration::from_millis(50));
            continue;
        };
        address = listener.local_addr().unwrap();
        listener.set_nonblocking(true).unwrap();
        let id = format!("i-{number}-{start}");
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_millis();
        let zone = ["zone-a", "zone-b", "zone-c"][number % 3];
        let entry = format!(
            r#"{{"service":"inscribe","addr":"{address}","zone":"{zone}","version":1,"slots":12,"state":"ready","cold_left_ms":0,"seq":1,"born":{born}}}"#
        );
        store.put(&format!("servers/{id}"), Some(entry));
        let crashed = Arc::new(AtomicBool::new(false));
        let mut open: Vec<TcpStream> = Vec::new();
        while !crashed.load(Ordering::Relaxed) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(2));
                continue;
            };
            stream.set_nonblocking(false).unwrap();
            open.push(stream.try_clone().unwrap());
            let (record, seen, crashed, id) =
                (record.clone(), seen.clone(), crashed.clone(), id.clone());
            thread::spawn(move || serve(stream, &id, &record, &seen, &crashed, trouble));
        }
        drop(listener);
        open.iter()
            .for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
        record.line(format!("server {id} has crashed"));
        seen.crashes.lock().unwrap().push(record.time());
        let store = store.clone();
        thread::spawn(move || {
            thread::sleep(LAPSE_TIME);
            store.put(&format!("servers/{id}"), None);
        });
        thread::sleep(RESTART_TIME);
    }
}

fn serve(
    stream: TcpStream,
    id: &str,
    record: &Record,
    seen: &Seen,
    crashed: &AtomicBool,
    trouble: bool,
) {
    let mut connection = Connection::new(stream);
    while let Ok(head) = connection.read_head() {
        if connection.read_body(&head).is_err() {
            return;
        }
        let request = head.get("request-id").unwrap_or_default().to_owned();
        let has_part = head
            .get("prompt-prefix")
            .is_some_and(|parts| parts.contains(PART));
        record.line(format!("server {id} runs {request} {}", label(has_part)));
        if has_part {
            seen.arrivals.lock().unwrap().push(record.time());
        } else {
            seen.begun.lock().unwrap().insert(request.clone());
        }
        thread::sleep(Duration::from_millis(30));
        if has_part && trouble {
            crashed.store(true, Ordering::Relaxed);
            return;
        }
        let mut text = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: {request}\r\nResponse-Stamp: {id}.{request}\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        for event in 1..=8 {
            let data = format!("id: {event}\ndata: {request}\n\n");
            text += &format!("{:x}\r\n{data}\r\n", data.len());
            if crashed.load(Ordering::Relaxed) || connection.write(text.as_bytes()).is_err() {
                return;
            }
            text.clear();
            thread::sleep(Duration::from_millis(20));
        }
        if connection.write(b"0\r\n\r\n").is_err() {
            return;
        }
    }
}

/// Sends a request with these parts in its prompt; returns the status of a whole answer, 0 if there is none.
pub fn send(address: SocketAddr, id: u64, parts: &[String]) -> u16 {
    let body = format!("prompt {id}");
    let request = format!(
        "POST /drafts/{id} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r{id}\r\nModel: m\r\nToken-Usage: 850,40\r\n\
         Prompt-Prefix: {}\r\nDeadline-Ms: 8000\r\nX-Api-Key: key\r\nContent-Length: {}\r\n\r\n{body}",
        parts.join(","),
        body.len()
    );
    let exchange = || {
        let mut connection = Connection::connect(address, Duration::from_secs(1))?;
        connection
            .stream
            .set_read_timeout(Some(Duration::from_secs(9)))?;
        connection.write(request.as_bytes())?;
        connection.read_answer()
    };
    exchange().map_or(0, |(head, _)| head.status())
}
