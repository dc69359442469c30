use std::time::Duration;

use conf::Policy;
use fake::{Client, Fleet, Response, TEAM_KEY, Topology};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    time,
};

/// Longest time that a test waits for an answer that must come.
const PATIENCE: Duration = Duration::from_secs(60);

fn kind(answer: &Response) -> String {
    answer.json()["type"]
        .as_str()
        .unwrap_or_default()
        .replace("urn:apricotridge:problem:", "")
}

async fn fleet() -> Fleet {
    let policy = Policy {
        body_limit: 100_000,
        ..Policy::default()
    };
    Fleet::start(Topology {
        policy,
        ..Topology::default()
    })
    .await
    .unwrap()
}

/// Sends bytes as they are and returns all that comes back until the connection ends.
async fn raw(entry: std::net::SocketAddr, pieces: &[&str]) -> String {
    let mut stream = TcpStream::connect(entry).await.unwrap();
    for piece in pieces {
        stream.write_all(piece.as_bytes()).await.unwrap();
    }
    let mut answer = Vec::new();
    let _ = time::timeout(PATIENCE, stream.read_to_end(&mut answer))
        .await
        .unwrap();
    String::from_utf8_lossy(&answer).into_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn body_too_large() {
    let fleet = fleet().await;
    let entry = fleet.client_address("entry-a-0").unwrap();
    for http2 in [false, true] {
        let announced = Client::new(TEAM_KEY, http2)
            .send("POST", entry, "/v1/drafts", &[], "x".repeat(200_000))
            .await
            .unwrap();
        assert_eq!(kind(&announced), "too-large", "{announced:?}");
    }
    let chunk = format!("{:x}\r\n{}\r\n", 30_000, "x".repeat(30_000));
    let head = format!(
        "POST /v1/drafts HTTP/1.1\r\nhost: e\r\nauthorization: Bearer {TEAM_KEY}\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    let answer = raw(entry, &[&head, &chunk, &chunk, &chunk, &chunk, "0\r\n\r\n"]).await;
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
}

#[tokio::test(flavor = "multi_thread")]
async fn headers_too_large() {
    let fleet = fleet().await;
    let entry = fleet.client_address("entry-a-0").unwrap();
    let head = format!(
        "GET /v1/lookups/1 HTTP/1.1\r\nhost: e\r\nx-long: {}\r\n\r\n",
        "x".repeat(100_000)
    );
    let answer = raw(entry, &[&head]).await;
    assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_body() {
    let fleet = fleet().await;
    let entry = fleet.client_address("entry-a-0").unwrap();
    let head = format!(
        "POST /v1/drafts HTTP/1.1\r\nhost: e\r\nauthorization: Bearer {TEAM_KEY}\r\ncontent-length: 50\r\n\r\nonly this"
    );
    let answer = raw(entry, &[&head]).await;
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
}
