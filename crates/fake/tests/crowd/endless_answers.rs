//! Engines whose answers have no end.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use fake::{Client, Fleet, Signal, TEAM_KEY, Topology};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    task::{JoinHandle, JoinSet},
    time,
};

use crate::{AGENT_MEMORY, ENTRY, ENTRY_MEMORY, TURN, peak_memory};

const ENDPOINT: &str = "drafts-a-0";
/// Requests that get endless answers of one kind at the same time, and the time for which they do.
const REQUESTS: usize = 64;
const PLAY_TIME: Duration = Duration::from_millis(1500);
/// Bytes of one answer that the engine writes at most, and that may be taken of it (figures of our own).
const WRITTEN: u64 = 128 << 20;
const TAKEN: u64 = 48 << 20;
/// Time for which a request alone may be answered.
const ALONE_TIME: Duration = Duration::from_secs(5);

/// Names of the kinds of answers, what they begin with, and what follows without an end.
const KINDS: [Kind; 13] = [
    ("status line", "HTTP/1.1 200 ", "O"),
    ("header", "HTTP/1.1 200 OK\r\nX: ", "x"),
    ("headers", "HTTP/1.1 200 OK\r\n", "X: x\r\n"),
    ("interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"),
    ("no response", "", "noise"),
    (
        "after an answer",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
        "noise",
    ),
    (
        "chunk extension",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;",
        "x",
    ),
    (
        "chunk size",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        "0",
    ),
    (
        "trailer",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: ",
        "x",
    ),
    (
        "trailers",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        "X: x\r\n",
    ),
    ("body", "HTTP/1.1 200 OK\r\n\r\n", "body"),
    (
        "chunks",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        "5\r\nwhole\r\n",
    ),
    ("failure", "HTTP/1.1 500 Failed\r\n\r\n", "body"),
];

/// Reads the head of a request in lower case; `None` at the end of the connection.
async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        bytes.push(stream.read_u8().await.ok()?);
    }
    Some(String::from_utf8_lossy(&bytes).to_lowercase())
}

/// Kind of answers, what they begin with, and what follows without an end.
type Kind = (&'static str, &'static str, &'static str);

/// Requests that an engine answers without an end.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Endless {
    /// All but health checks.
    Requests,
    HealthChecks,
}

/// Engine whose answers have no end.
struct Engine {
    /// Most bytes that were taken of one answer.
    most: Arc<AtomicU64>,
    server: JoinHandle<()>,
}

impl Engine {
    /// Starts to listen at the address of an engine that was killed.
    async fn start(address: SocketAddr, kind: Kind, endless: Endless) -> Self {
        // The killed engine, or the previous listener, may still hold the address.
        let listener = loop {
            match TcpListener::bind(address).await {
                Ok(listener) => break listener,
                Err(_) => time::sleep(Duration::from_millis(20)).await,
            }
        };
        let most = Arc::<AtomicU64>::default();
        let counted = most.clone();
        let server = tokio::spawn(async move {
            let mut connections = JoinSet::new();
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                connections.spawn(respond(stream, kind, endless, counted.clone()));
            }
        });
        Self { most, server }
    }

    /// Stops the engine; returns the most bytes that were taken of one answer.
    fn stop(self) -> u64 {
        self.server.abort();
        self.most.load(Ordering::Relaxed)
    }
}

/// Answers requests, some of them with up to [`WRITTEN`] bytes that have no end.
async fn respond(
    mut stream: TcpStream,
    (_, start, unit): Kind,
    endless: Endless,
    most: Arc<AtomicU64>,
) {
    while let Some(head) = read_head(&mut stream).await {
        let is_check = head.starts_with("get /health");
        if is_check != (endless == Endless::HealthChecks) {
            let text = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
            if stream.write_all(text.as_bytes()).await.is_err() {
                return;
            }
            continue;
        }
        let piece = unit.repeat(8192 / unit.len());
        let mut sent = stream.write_all(start.as_bytes()).await;
        let mut written = 0;
        while sent.is_ok() && written < WRITTEN {
            sent = stream.write_all(piece.as_bytes()).await;
            written += piece.len() as u64;
            most.fetch_max(written, Ordering::Relaxed);
        }
        if sent.is_ok() {
            time::sleep(ALONE_TIME).await;
        }
        return;
    }
}

/// Kills the engine beside an agent; returns its address.
fn kill_engine(fleet: &Fleet) -> SocketAddr {
    let backend = &fleet.backends[ENDPOINT];
    let address = backend.ready_line().parse().unwrap();
    backend.signal(Signal::Kill).unwrap();
    address
}

/// Asserts that an order, whose engine is sound, runs.
async fn assert_served(entry: SocketAddr) {
    let client = Client::new(TEAM_KEY, false);
    let key = client.request_key(entry).await.unwrap();
    let headers = [("idempotency-key", key.as_str())];
    let response = client.send("POST", entry, "/v1/orders", &headers, "order");
    assert_eq!(response.await.unwrap().json()["count"], 1);
}

/// Guards against an engine whose answers have no end, and take the memory of its agent or of an entry (LOST).
#[tokio::test(flavor = "multi_thread")]
async fn endless_engine() {
    let _turn = TURN.lock().await;
    let fleet = Fleet::start(Topology::default()).await.unwrap();
    let entry = fleet.client_address(ENTRY).unwrap();
    let address = kill_engine(&fleet);
    for kind in KINDS {
        let name = kind.0;
        let engine = Engine::start(address, kind, Endless::Requests).await;
        // The agent finds the engine to be healthy again.
        time::sleep(PLAY_TIME).await;
        let mut requests = JoinSet::new();
        for number in 0..REQUESTS {
            requests.spawn(async move {
                let client = Client::new(TEAM_KEY, false);
                let prompt = format!("p{number}");
                let draft = client.request_draft(entry, &prompt, 4);
                time::timeout(PLAY_TIME, draft).await.is_ok()
            });
        }
        let answers = requests.join_all().await;
        let ended = answers.into_iter().filter(|ended| *ended).count();
        engine.stop();
        let agent = peak_memory(&fleet.agents[ENDPOINT]);
        let memory = peak_memory(&fleet.entries[ENTRY]);
        println!(
            "{name}: agent {} MB, entry {} MB, {ended} of {REQUESTS} requests ended",
            agent / 1_000_000,
            memory / 1_000_000
        );
        assert!(agent <= AGENT_MEMORY, "{name}: {agent} bytes in the agent");
        assert!(
            memory <= ENTRY_MEMORY,
            "{name}: {memory} bytes in the entry"
        );
    }
    assert_served(entry).await;
}

/// Guards against an engine's answer that is read until the deadline, though it has no part of a message (LOST).
#[tokio::test(flavor = "multi_thread")]
async fn endless_parts() {
    let _turn = TURN.lock().await;
    let fleet = Fleet::start(Topology::default()).await.unwrap();
    let entry = fleet.client_address(ENTRY).unwrap();
    let address = kill_engine(&fleet);
    let is_endless_part = |kind: &Kind| ["interim answers", "chunk size"].contains(&kind.0);
    let mut endless = Vec::new();
    for kind in KINDS.into_iter().filter(is_endless_part) {
        let engine = Engine::start(address, kind, Endless::Requests).await;
        // The agent finds the engine to be healthy again.
        time::sleep(PLAY_TIME).await;
        let client = Client::new(TEAM_KEY, false);
        let draft = client.request_draft(entry, "prompt", 4);
        let answered = time::timeout(ALONE_TIME, draft).await.is_ok();
        let taken = engine.stop();
        println!("{}: {taken} bytes, answered: {answered}", kind.0);
        if taken == 0 || taken > TAKEN {
            endless.push((kind.0, taken));
        }
    }
    assert!(endless.is_empty(), "{endless:?}");
    assert_served(entry).await;
}

/// Guards against an engine whose answers to health checks have no end (LOST).
#[tokio::test(flavor = "multi_thread")]
async fn endless_health() {
    let _turn = TURN.lock().await;
    let fleet = Fleet::start(Topology::default()).await.unwrap();
    let entry = fleet.client_address(ENTRY).unwrap();
    let address = kill_engine(&fleet);
    let mut endless = Vec::new();
    for kind in KINDS {
        let engine = Engine::start(address, kind, Endless::HealthChecks).await;
        time::sleep(2 * PLAY_TIME).await;
        let (taken, memory) = (engine.stop(), peak_memory(&fleet.agents[ENDPOINT]));
        println!("{}: {taken} bytes, agent {} MB", kind.0, memory / 1_000_000);
        if taken == 0 || taken > TAKEN || memory > AGENT_MEMORY {
            endless.push((kind.0, taken, memory));
        }
    }
    assert!(endless.is_empty(), "{endless:?}");
    assert_served(entry).await;
}
