//! Stand-ins of servers: they record what they ran, and answer whole.

use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Connection, Message},
    store::Store,
};

/// Time that a plain request takes.
const WORK_TIME: Duration = Duration::from_millis(15);

/// Request that a server ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub id: String,
    pub server: String,
    pub last_event: Option<String>,
}

#[derive(Clone, Default)]
pub struct Runs(Arc<Mutex<Vec<Run>>>);

impl Runs {
    pub fn all(&self) -> Vec<Run> {
        self.0.lock().expect("runs").clone()
    }

    fn add(&self, server: &str, request: &Message) {
        let id = request.header("request-id").unwrap_or_default();
        self.0.lock().expect("runs").push(Run {
            at: Instant::now(),
            id: id.to_owned(),
            server: server.to_owned(),
            last_event: request.header("last-event-id").map(str::to_owned),
        });
    }
}

/// Events of each stream of a server, by their ids.
#[derive(Clone)]
pub struct Stream {
    pub ids: Vec<u64>,
    pub gap: Duration,
}

/// Starts a server and registers it; with a stream it answers each request with that, else with a short body.
pub fn start(
    store: &Store,
    runs: &Runs,
    service: &str,
    zone: &str,
    number: usize,
    stream: Option<Stream>,
) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("port of a server");
    let address = listener.local_addr().expect("address of a server");
    let id = format!("i-{service}{number}");
    let (server, runs) = (id.clone(), runs.clone());
    http::serve(listener, move |connection, request| {
        respond(connection, &request, &server, &runs, stream.as_ref())
    });
    store.put(
        &format!("servers/{id}"),
        Some(&registration(service, zone, address)),
    );
}

fn registration(service: &str, zone: &str, address: SocketAddr) -> String {
    let born = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("clock")
        .as_millis();
    format!(
        r#"{{"service":"{service}","addr":"{address}","zone":"{zone}","version":"v1","slots":12,"state":"ready","cold_left_ms":0,"seq":1,"born":{born}}}"#
    )
}

fn respond(
    connection: &mut Connection,
    request: &Message,
    server: &str,
    runs: &Runs,
    stream: Option<&Stream>,
) -> io::Result<()> {
    let id = request.header("request-id").unwrap_or_default();
    if request.header("target-instance") != Some(server) {
        return connection.respond(
            421,
            &format!("Request-Id: {id}\r\nInstance-Id: {server}\r\n"),
            b"",
        );
    }
    runs.add(server, request);
    let headers = format!("Request-Id: {id}\r\nResponse-Stamp: {server}.{id}\r\n");
    let Some(stream) = stream else {
        thread::sleep(WORK_TIME);
        return connection.respond(200, &headers, format!("{server} ran {id}").as_bytes());
    };
    let head = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
    connection.write(format!("HTTP/1.1 200 OK\r\n{headers}{head}\r\n").as_bytes())?;
    let last: Option<u64> = request
        .header("last-event-id")
        .and_then(|text| text.parse().ok());
    let rest = stream
        .ids
        .iter()
        .filter(|id| last.is_none_or(|last| **id > last));
    for event in rest {
        thread::sleep(stream.gap);
        let text = format!("id: {event}\ndata: piece {event}\n\n");
        connection.write(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
    }
    connection.write(b"0\r\n\r\n")
}
