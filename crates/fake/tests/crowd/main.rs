//! Crowds of clients that exceed what the processes of the product's own way can hold.
//!
//! The tests run one at a time. They check that entry and agent live, that their memory and descriptors stay within those of
//! the smallest VMs of their roles, and that one ordinary request is answered afterwards.

mod endless_answers;

use std::{fs, net::SocketAddr, time::Duration};

use bytes::Bytes;
use fake::{Client, Fleet, Process, TEAM_KEY, Topology, expected_draft};
use futures::{StreamExt as _, stream};
use http::Request;
use http_body_util::StreamBody;
use hyper::{body::Frame, client::conn::http2};
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::{
    io::AsyncWriteExt as _,
    net::TcpStream,
    sync::{Mutex, MutexGuard},
    task::JoinSet,
    time,
};

/// Memory of the smallest entry VM and of an endpoint's VM on the users' pages, in bytes.
const ENTRY_MEMORY: u64 = 112_000_000;
const AGENT_MEMORY: u64 = 128_000_000;
/// Descriptors of the smallest entry VM, less those that it keeps for files.
const ENTRY_DESCRIPTORS: usize = 2870 - 200;
const ENTRY: &str = "entry-a-0";
/// Time in which a connection must have been able to write; what the entry leaves unread stays unsent.
const WRITE_TIME: Duration = Duration::from_millis(1500);

/// Held by the test that runs, since crowds are played one at a time.
static TURN: Mutex<()> = Mutex::const_new(());

async fn start() -> (Fleet, SocketAddr, MutexGuard<'static, ()>) {
    let turn = TURN.lock().await;
    let fleet = Fleet::start(Topology::default()).await.unwrap();
    let entry = fleet.client_address(ENTRY).unwrap();
    (fleet, entry, turn)
}

/// Returns the largest resident memory that a process has had, in bytes.
fn peak_memory(process: &Process) -> u64 {
    let status = fs::read_to_string(format!("/proc/{}/status", process.id())).unwrap();
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))
        .unwrap();
    let kilobytes: u64 = line.trim().trim_end_matches("kB").trim().parse().unwrap();
    kilobytes * 1024
}

/// Asserts that entry and agents live within the limits of their VMs, and that an ordinary request is answered.
async fn assert_sound(fleet: &Fleet, crowd: &str) {
    let entry = &fleet.entries[ENTRY];
    let memory = peak_memory(entry);
    let open = fs::read_dir(format!("/proc/{}/fd", entry.id()))
        .unwrap()
        .count();
    let agents = fleet.agents.values().map(peak_memory).max().unwrap();
    println!(
        "{crowd}: entry {} MB, {open} descriptors; agents {} MB",
        memory / 1_000_000,
        agents / 1_000_000
    );
    let address = fleet.client_address(ENTRY).unwrap();
    let client = Client::new(TEAM_KEY, false);
    let response = client.request_draft(address, "ordinary", 3).await.unwrap();
    assert_eq!(response.text(), expected_draft("ordinary", 3), "{crowd}");
    assert!(
        memory <= ENTRY_MEMORY,
        "{crowd}: {memory} bytes in the entry"
    );
    assert!(
        agents <= AGENT_MEMORY,
        "{crowd}: {agents} bytes in an agent"
    );
    assert!(open <= ENTRY_DESCRIPTORS, "{crowd}: {open} descriptors");
}

/// Opens connections that send `text` and `length` further bytes, as far as they get in [`WRITE_TIME`], and stay open.
async fn join(entry: SocketAddr, count: usize, text: &str, length: usize) -> Vec<TcpStream> {
    let mut connections = JoinSet::new();
    for _ in 0..count {
        let (text, piece) = (text.to_owned(), vec![b'x'; 64 * 1024]);
        connections.spawn(async move {
            let connecting = time::timeout(WRITE_TIME, TcpStream::connect(entry));
            let mut stream = connecting.await.ok()?.ok()?;
            let sending = async {
                stream.write_all(text.as_bytes()).await?;
                let mut left = length;
                while left > 0 {
                    let most = left.min(piece.len());
                    stream.write_all(&piece[..most]).await?;
                    left -= most;
                }
                std::io::Result::Ok(())
            };
            // A connection that the entry closes has ended its part.
            let _ = time::timeout(WRITE_TIME, sending).await;
            Some(stream)
        });
    }
    connections.join_all().await.into_iter().flatten().collect()
}

/// Bodies short of their end, more than the engine has slots.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_beyond_slots() {
    let (fleet, entry, _turn) = start().await;
    let length = 16 << 20;
    let head = format!(
        "POST /v1/drafts HTTP/1.1\r\nhost: e\r\nauthorization: Bearer {TEAM_KEY}\r\ncontent-length: {length}\r\n\r\n"
    );
    let _crowd = join(entry, 200, &head, length - 1).await;
    assert_sound(&fleet, "short of their length").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_connections() {
    let (fleet, entry, _turn) = start().await;
    let _crowd = join(entry, 3000, "", 0).await;
    assert_sound(&fleet, "silent connections").await;
}

/// HTTP/2 connections with many requests each, whose bodies stop before the entry knows where to send them.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_streams() {
    let (fleet, entry, _turn) = start().await;
    let mut crowd = Vec::new();
    for _ in 0..20 {
        let stream = TcpStream::connect(entry).await.unwrap();
        let (sender, connection) = http2::handshake(TokioExecutor::new(), TokioIo::new(stream))
            .await
            .unwrap();
        crowd.push(tokio::spawn(async move {
            // The entry may close the connection.
            let _ = connection.await;
        }));
        for _ in 0..250 {
            let mut sender = sender.clone();
            let start = stream::iter([Ok::<_, std::io::Error>(Frame::data(Bytes::from(vec![
                b'x';
                60_000
            ])))]);
            let body = StreamBody::new(Box::pin(start.chain(stream::pending())));
            let request = Request::post(format!("http://{entry}/v1/drafts"))
                .header("authorization", format!("Bearer {TEAM_KEY}"))
                .body(body)
                .unwrap();
            crowd.push(tokio::spawn(async move {
                // The entry may refuse the request.
                drop(sender.send_request(request).await);
                std::future::pending().await
            }));
        }
    }
    time::sleep(WRITE_TIME).await;
    assert_sound(&fleet, "unfinished streams").await;
    crowd.iter().for_each(tokio::task::JoinHandle::abort);
}
