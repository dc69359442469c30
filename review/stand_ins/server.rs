//! Stand-in of a server, which runs as a process of its own: `stand-in server LISTEN ID COLD_MS COLD_LIMIT CRASHES`.
//!
//! It serves `/draft/EVENTSxGAP/...` as a stream of events, `/work/MS/...` and `/order/MS/...` as a plain answer. Each line on
//! standard output tells of one event: `arrived`, `rejected`, `ran`, `ended` or `left`, the request's id and
//! the path.
//!
//! A request with `poison` in its path crashes the server while it runs, if `CRASHES` says so: `before` its
//! answer or `amid` it; `never` otherwise. With `fails`, two of five requests fail after they have run, with the
//! server's own 503, which has no `Not-Executed`. While it is cold, the server crashes once more than `COLD_LIMIT`
//! requests have arrived within a second.

use std::{
    collections::VecDeque,
    io::{self, BufReader, Write},
    net::{TcpListener, TcpStream},
    process,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::http::{self, Message};

/// Requests that run at once.
const SLOTS: usize = 12;
/// Events that a stream has written when its server crashes amid it.
const EVENTS_BEFORE_CRASH: u32 = 5;
/// Length of the body of a plain answer, in bytes.
const BODY_BYTES: usize = 800;

struct Server {
    id: String,
    started: Instant,
    cold: Duration,
    cold_limit: usize,
    crashes: String,
    running: AtomicUsize,
    failures: AtomicUsize,
    /// Arrivals within the last second.
    arrivals: Mutex<VecDeque<Instant>>,
}

pub fn run(arguments: &[String]) {
    let [listen, id, cold_ms, cold_limit, crashes] = arguments else {
        panic!("LISTEN ID COLD_MS COLD_LIMIT CRASHES expected");
    };
    let listener = TcpListener::bind(listen).expect("the address of the server is free");
    let server = Arc::new(Server {
        id: id.clone(),
        started: Instant::now(),
        cold: Duration::from_millis(cold_ms.parse().expect("a number of milliseconds")),
        cold_limit: cold_limit.parse().expect("a number of requests"),
        crashes: crashes.clone(),
        running: AtomicUsize::new(0),
        failures: AtomicUsize::new(0),
        arrivals: Mutex::default(),
    });
    tell("listens", id, "");
    for stream in listener.incoming().flatten() {
        let server = server.clone();
        thread::spawn(move || server.serve(stream));
    }
}

fn tell(what: &str, id: &str, path: &str) {
    let mut out = io::stdout().lock();
    // Without its starter the server has nobody to serve.
    if writeln!(out, "{what} {id} {path}").and_then(|()| out.flush()).is_err() {
        process::exit(0);
    }
}

impl Server {
    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            if self.respond(&request, &mut writer).is_err() {
                return;
            }
        }
    }

    fn respond(&self, request: &Message, writer: &mut TcpStream) -> io::Result<()> {
        let path = request.target();
        let id = request.header("request-id").unwrap_or_default();
        if path == "/health" {
            let cold = self.cold.saturating_sub(self.started.elapsed()).as_millis().to_string();
            let headers = [("Instance-Id", self.id.as_str()), ("Cold-Ms", &cold)];
            return http::write_response(writer, "200 OK", &headers, b"");
        }
        if request.header("target-instance").is_some_and(|target| target != self.id) {
            tell("misdirected", id, path);
            let headers = [("Instance-Id", self.id.as_str()), ("Request-Id", id)];
            return http::write_response(writer, "421 Misdirected Request", &headers, b"");
        }
        tell("arrived", id, path);
        self.crash_if_overloaded(path);
        if self.running.fetch_add(1, Ordering::SeqCst) >= SLOTS {
            self.running.fetch_sub(1, Ordering::SeqCst);
            tell("rejected", id, path);
            let headers = [("Not-Executed", "1"), ("Request-Id", id)];
            return http::write_response(writer, "503 Service Unavailable", &headers, b"");
        }
        tell("ran", id, path);
        let result = self.answer(request, id, path, writer);
        self.running.fetch_sub(1, Ordering::SeqCst);
        tell(if result.is_ok() { "ended" } else { "left" }, id, path);
        result
    }

    fn crash_if_overloaded(&self, path: &str) {
        let now = Instant::now();
        let mut arrivals = self.arrivals.lock().unwrap();
        arrivals.push_back(now);
        while arrivals.front().is_some_and(|at| now.duration_since(*at) > Duration::from_secs(1)) {
            arrivals.pop_front();
        }
        if self.started.elapsed() < self.cold && arrivals.len() > self.cold_limit {
            tell("crashed", &self.id, path);
            process::abort();
        }
    }

    fn crash_if(&self, when: &str, path: &str) {
        if path.contains("poison") && self.crashes == when {
            tell("crashed", &self.id, path);
            process::abort();
        }
    }

    fn answer(&self, request: &Message, id: &str, path: &str, writer: &mut TcpStream) -> io::Result<()> {
        let mut parts = path.split('/').skip(1);
        let (kind, size) = (parts.next().unwrap_or_default(), parts.next().unwrap_or_default());
        let stamp = format!("{}.{id}", self.id);
        self.crash_if("before", path);
        if kind == "work" || kind == "order" {
            thread::sleep(Duration::from_millis(size.parse().unwrap_or(15)));
            if self.crashes == "fails" && self.failures.fetch_add(1, Ordering::SeqCst) % 5 < 2 {
                let headers = [("Request-Id", id), ("Response-Stamp", &stamp)];
                return http::write_response(writer, "503 Service Unavailable", &headers, b"");
            }
            let body = vec![b'x'; BODY_BYTES];
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {BODY_BYTES}\r\nRequest-Id: {id}\r\nResponse-Stamp: {stamp}\r\n\r\n"
            );
            if path.contains("poison") && self.crashes == "amid" {
                writer.write_all(&[head.as_bytes(), &body[..BODY_BYTES / 2]].concat())?;
                thread::sleep(Duration::from_millis(20));
            }
            self.crash_if("amid", path);
            return writer.write_all(&[head.as_bytes(), &body].concat());
        }
        let (events, gap) = size.split_once('x').unwrap_or(("28", "20"));
        let events: u32 = events.parse().unwrap_or(28);
        let gap = Duration::from_millis(gap.parse().unwrap_or(20));
        let last = request.header("last-event-id").and_then(|text| text.parse().ok());
        let last: u32 = last.unwrap_or(0);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nRequest-Id: {id}\r\nResponse-Stamp: {stamp}\r\n\r\n"
        );
        writer.write_all(head.as_bytes())?;
        for event in last + 1..=events {
            thread::sleep(gap);
            if event > last + EVENTS_BEFORE_CRASH {
                self.crash_if("amid", path);
            }
            let text = format!("id: {event}\ndata: {id}\n\n");
            writer.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        }
        writer.write_all(b"0\r\n\r\n")
    }
}
