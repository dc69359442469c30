//! Engines whose answers have no end.

use std::{net::SocketAddr, time::Duration};

use fake::{Client, Fleet, Signal, TEAM_KEY, Topology};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    task::JoinSet,
    time,
};

use crate::{AGENT_MEMORY, ENTRY, ENTRY_MEMORY, TURN, peak_memory};

const ENDPOINT: &str = "drafts-a-0";
/// Requests that get endless answers of one kind at the same time, and the time for which they do.
const REQUESTS: usize = 64;
const PLAY_TIME: Duration = Duration::from_millis(1500);

/// Names of the kinds of answers, what they begin with, and what follows without an end.
const KINDS: [(&str, &str, &str); 13] = [
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

/// Answers health checks, and all other requests without an end.
async fn respond(mut stream: TcpStream, start: &str, unit: &str) {
    while let Some(head) = read_head(&mut stream).await {
        if head.starts_with("get /health") {
            let text = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
            if stream.write_all(text.as_bytes()).await.is_err() {
                return;
            }
            continue;
        }
        let piece = unit.repeat(8192 / unit.len());
        let mut sent = stream.write_all(start.as_bytes()).await;
        while sent.is_ok() {
            sent = stream.write_all(piece.as_bytes()).await;
        }
        return;
    }
}

/// Guards against an engine whose answers have no end, and take the memory of its agent or of an entry (LOST).
#[tokio::test(flavor = "multi_thread")]
async fn endless_engine() {
    let _turn = TURN.lock().await;
    let fleet = Fleet::start(Topology::default()).await.unwrap();
    let entry = fleet.client_address(ENTRY).unwrap();
    let backend = &fleet.backends[ENDPOINT];
    let address: SocketAddr = backend.ready_line().parse().unwrap();
    backend.signal(Signal::Kill).unwrap();
    for (name, start, unit) in KINDS {
        // The killed engine, or the previous listener, may still hold the address.
        let listener = loop {
            match TcpListener::bind(address).await {
                Ok(listener) => break listener,
                Err(_) => time::sleep(Duration::from_millis(20)).await,
            }
        };
        let engine = tokio::spawn(async move {
            let mut connections = JoinSet::new();
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                connections.spawn(respond(stream, start, unit));
            }
        });
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
        engine.abort();
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
    // Other requests on the same processes are served.
    let client = Client::new(TEAM_KEY, false);
    let key = client.request_key(entry).await.unwrap();
    let headers = [("idempotency-key", key.as_str())];
    let response = client.send("POST", entry, "/v1/orders", &headers, "order");
    assert_eq!(response.await.unwrap().json()["count"], 1);
}
