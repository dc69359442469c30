use std::time::Duration;

use conf::Policy;
use fake::{Client, Fleet, Response, TEAM_KEY, Topology};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    time,
};

/// Timeout until the connection of a raw request is closed.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);

/// Returns the problem type of a response without its URN prefix.
fn problem_type(response: &Response) -> String {
    response.json()["type"]
        .as_str()
        .unwrap_or_default()
        .replace("urn:apricotridge:problem:", "")
}

async fn start_fleet() -> Fleet {
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

/// Sends raw bytes and returns all that is received until the connection is closed.
async fn send_raw(entry: std::net::SocketAddr, pieces: &[&str]) -> String {
    let mut stream = TcpStream::connect(entry).await.unwrap();
    for piece in pieces {
        stream.write_all(piece.as_bytes()).await.unwrap();
    }
    let mut response = Vec::new();
    let _ = time::timeout(RESPONSE_TIMEOUT, stream.read_to_end(&mut response))
        .await
        .unwrap();
    String::from_utf8_lossy(&response).into_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn body_too_large() {
    let fleet = start_fleet().await;
    let entry = fleet.client_address("entry-a-0").unwrap();
    for http2 in [false, true] {
        let response = Client::new(TEAM_KEY, http2)
            .send("POST", entry, "/v1/drafts", &[], "x".repeat(200_000))
            .await
            .unwrap();
        assert_eq!(problem_type(&response), "too-large", "{response:?}");
    }
    let chunk = format!("{:x}\r\n{}\r\n", 30_000, "x".repeat(30_000));
    let head = format!(
        "POST /v1/drafts HTTP/1.1\r\nhost: e\r\nauthorization: Bearer {TEAM_KEY}\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    let response = send_raw(entry, &[&head, &chunk, &chunk, &chunk, &chunk, "0\r\n\r\n"]).await;
    assert!(response.starts_with("HTTP/1.1 413"), "{response}");
}

#[tokio::test(flavor = "multi_thread")]
async fn headers_too_large() {
    let fleet = start_fleet().await;
    let entry = fleet.client_address("entry-a-0").unwrap();
    let head = format!(
        "GET /v1/lookups/1 HTTP/1.1\r\nhost: e\r\nx-long: {}\r\n\r\n",
        "x".repeat(100_000)
    );
    let response = send_raw(entry, &[&head]).await;
    assert!(response.starts_with("HTTP/1.1 431"), "{response}");
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_body() {
    let fleet = start_fleet().await;
    let entry = fleet.client_address("entry-a-0").unwrap();
    let head = format!(
        "POST /v1/drafts HTTP/1.1\r\nhost: e\r\nauthorization: Bearer {TEAM_KEY}\r\ncontent-length: 50\r\n\r\nonly this"
    );
    let response = send_raw(entry, &[&head]).await;
    assert!(response.starts_with("HTTP/1.1 408"), "{response}");
}
