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

    pub fn add(&self, server: &str, request: &Message) {
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

/// Server that runs until the end of the case.
pub struct Server {
    pub id: String,
    service: String,
    zone: String,
    address: SocketAddr,
    born: u128,
    cold_until: Arc<Mutex<Option<Instant>>>,
}

impl Server {
    /// Makes the server cold again for a time, which its health answers state.
    pub fn turn_cold(&self, time: Duration) {
        *self.cold_until.lock().expect("server") = Some(Instant::now() + time);
    }

    /// Writes the registration to the store.
    pub fn register(&self, store: &Store) {
        let Self {
            service,
            zone,
            address,
            born,
            ..
        } = self;
        let cold = cold_left(&self.cold_until);
        let registration = format!(
            r#"{{"service":"{service}","addr":"{address}","zone":"{zone}","version":"v1","slots":12,"state":"ready","cold_left_ms":{cold},"seq":1,"born":{born}}}"#
        );
        store.put(&format!("servers/{}", self.id), Some(&registration));
    }
}

/// Returns how long a server is still cold, in milliseconds.
fn cold_left(cold_until: &Mutex<Option<Instant>>) -> u128 {
    let until = *cold_until.lock().expect("server");
    until.map_or(0, |until| {
        until.saturating_duration_since(Instant::now()).as_millis()
    })
}

/// Starts a server and registers it; with a stream it answers each request with that, else with a short body.
pub fn start(
    store: &Store,
    runs: &Runs,
    service: &str,
    zone: &str,
    number: usize,
    stream: Option<Stream>,
) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").expect("port of a server");
    let server = Server {
        id: format!("i-{service}{number}"),
        service: service.to_owned(),
        zone: zone.to_owned(),
        address: listener.local_addr().expect("address of a server"),
        born: now_ms(),
        cold_until: Arc::default(),
    };
    let (id, runs, cold_until) = (server.id.clone(), runs.clone(), server.cold_until.clone());
    http::serve(listener, move |connection, request| {
        if request.path() == "/health" {
            let cold = cold_left(&cold_until);
            return connection.respond(
                200,
                &format!("Instance-Id: {id}\r\nCold-Ms: {cold}\r\n"),
                b"",
            );
        }
        respond(connection, &request, &id, &runs, stream.as_ref())
    });
    server.register(store);
    server
}

/// Returns the Unix time in milliseconds.
pub fn now_ms() -> u128 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.expect("clock").as_millis()
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
