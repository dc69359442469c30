//! Runs an entry on loopback between callers and endpoints that misbehave as told.

use std::{
    net::{SocketAddr, TcpListener as StdListener},
    path::PathBuf,
    sync::{Arc, Mutex},
    time::Duration,
};

use direct::{Listen, Protocol, Settings, metadata};
use fault::{ErrorKind, Fault};
use fleet::{Change, Fact, Item, Page, Revision, Source, SourceError};
use futures::future::BoxFuture;
use http::{HeaderMap, HeaderValue, StatusCode, request, response};
use smol_str::SmolStr;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    time,
};

use crate::support;

/// Time for anything on loopback.
const PATIENCE: Duration = Duration::from_secs(10);

/// Headers of the test's own interface.
struct Plain;

fn text(headers: &HeaderMap, name: &str) -> Option<SmolStr> {
    headers.get(name)?.to_str().ok().map(SmolStr::new)
}

impl Protocol for Plain {
    fn decode_request(&self, head: &request::Parts) -> Result<metadata::Request, ErrorKind> {
        Ok(metadata::Request {
            id: text(&head.headers, "id").ok_or(ErrorKind::Malformed)?,
            key: text(&head.headers, "key"),
            timeout: Some(Duration::from_secs(2)),
            ..metadata::Request::default()
        })
    }

    fn rewrite_headers(&self, headers: &mut HeaderMap, forwarded: &metadata::Forwarded<'_>) {
        headers.remove("key");
        headers.insert(
            "endpoint",
            HeaderValue::from_str(forwarded.endpoint).unwrap(),
        );
        headers.insert(
            "team",
            HeaderValue::from_str(forwarded.team.unwrap()).unwrap(),
        );
        if let Some(last) = forwarded.last_event {
            headers.insert("last", HeaderValue::from(last));
        }
    }

    fn decode_response(&self, head: &response::Parts) -> metadata::Response {
        metadata::Response {
            request_id: text(&head.headers, "id"),
            not_run: head.headers.contains_key("not-run"),
            signed: head.headers.contains_key("signed"),
            ..metadata::Response::default()
        }
    }

    fn status(&self, fault: &Fault) -> StatusCode {
        fault.kind().answer().status
    }

    fn retry_after(&self, _: Duration) -> HeaderValue {
        HeaderValue::from_static("1")
    }
}

/// Store that tells one page and then nothing.
struct Told(Mutex<Option<Page>>);

impl Source for Told {
    fn list(&self) -> BoxFuture<'_, Result<Page, SourceError>> {
        let page = self.0.lock().unwrap().take().unwrap_or_default();
        Box::pin(async move { Ok(page) })
    }

    fn watch(&self, _: Revision) -> BoxFuture<'_, Result<Page, SourceError>> {
        Box::pin(std::future::pending())
    }
}

/// What an endpoint does with a request.
#[derive(Clone)]
enum Act {
    Say(String),
    Wait(Duration),
    Close,
}

type Script = Arc<dyn Fn(&str) -> Vec<Act> + Send + Sync>;

/// Endpoint that notes the requests that it read, and the connections that callers closed early.
struct Stand {
    address: SocketAddr,
    seen: Arc<Mutex<Vec<String>>>,
    left: Arc<Mutex<u32>>,
}

impl Stand {
    async fn start(script: Script) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (seen, left) = (
            Arc::<Mutex<Vec<String>>>::default(),
            Arc::<Mutex<u32>>::default(),
        );
        let (notes, leaves) = (seen.clone(), left.clone());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(talk(stream, script.clone(), notes.clone(), leaves.clone()));
            }
        });
        Self {
            address,
            seen,
            left,
        }
    }

    fn runs(&self) -> usize {
        self.seen.lock().unwrap().len()
    }
}

async fn talk(
    mut stream: TcpStream,
    script: Script,
    seen: Arc<Mutex<Vec<String>>>,
    left: Arc<Mutex<u32>>,
) {
    loop {
        let Some(request) = read_request(&mut stream).await else {
            return;
        };
        seen.lock().unwrap().push(request.clone());
        for act in script(&request) {
            match act {
                Act::Say(text) => {
                    if stream.write_all(text.as_bytes()).await.is_err() {
                        return;
                    }
                }
                Act::Wait(span) => {
                    let mut byte = [0];
                    if time::timeout(span, stream.read(&mut byte)).await.is_ok() {
                        *left.lock().unwrap() += 1;
                        return;
                    }
                }
                Act::Close => return,
            }
        }
    }
}

async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    loop {
        let mut chunk = [0; 1024];
        let length = stream
            .read(&mut chunk)
            .await
            .ok()
            .filter(|length| *length > 0)?;
        bytes.extend_from_slice(&chunk[..length]);
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let expected = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "))
            .map_or(0, |length| length.parse().unwrap());
        if body.len() >= expected {
            return Some(text);
        }
    }
}

fn header<'a>(request: &'a str, name: &str) -> Option<&'a str> {
    request
        .lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
}

fn say(request: &str, body: &str) -> Act {
    let id = header(request, "id").unwrap();
    let length = body.len();
    Act::Say(format!(
        "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: yes\r\ncontent-length: {length}\r\n\r\n{body}"
    ))
}

fn open_stream(request: &str) -> Act {
    let id = header(request, "id").unwrap();
    Act::Say(format!(
        "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: yes\r\ntransfer-encoding: chunked\r\n\r\n"
    ))
}

fn event(id: u32) -> Act {
    let text = format!("id: {id}\ndata: x\n\n");
    Act::Say(format!("{:x}\r\n{text}\r\n", text.len()))
}

fn end() -> Act {
    Act::Say("0\r\n\r\n".to_owned())
}

/// Returns an address that is free now.
fn free() -> SocketAddr {
    StdListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
}

/// Starts an entry in front of endpoints of one service and returns its address for callers.
async fn entry(service: &str, stands: &[&Stand]) -> SocketAddr {
    let callers = free();
    let settings = Settings {
        name: "entry-a".into(),
        zone: "a".into(),
        listen: Listen {
            callers,
            ready: free(),
            peers: free(),
            gossip: free(),
            operators: free(),
        },
        store: free(),
        seeds: Vec::new(),
        bounds: support::bounds(),
        log: conf::Level::Info,
    };
    let mut changes = vec![Change::Put(Item {
        key: "configuration".into(),
        revision: 1,
        fact: Fact::Configuration(Arc::new(support::configuration(1))),
    })];
    for (index, stand) in stands.iter().enumerate() {
        let endpoint = support::endpoint(service, "a", stand.address);
        let id: SmolStr = format!("e{index}").into();
        changes.push(Change::Put(Item {
            key: id.clone(),
            revision: 2,
            fact: Fact::Endpoint(id, Arc::new(endpoint)),
        }));
    }
    let page = Page {
        changes,
        covered: 2,
        keys: None,
    };
    let source = Arc::new(Told(Mutex::new(Some(page))));
    tokio::spawn(direct::run(
        settings,
        PathBuf::from("/nowhere"),
        Arc::new(Plain),
        source,
    ));
    for _ in 0..200 {
        if call(callers, "GET /nothing HTTP/1.1\r\nid: probe")
            .await
            .starts_with("HTTP/1.1 404")
        {
            return callers;
        }
        time::sleep(Duration::from_millis(20)).await;
    }
    panic!("the entry does not answer");
}

/// Sends one request and reads until the entry closes or the answer is whole.
async fn call(entry: SocketAddr, request: &str) -> String {
    let Ok(mut stream) = TcpStream::connect(entry).await else {
        return String::new();
    };
    let (head, body) = request.split_once("\r\n\r\n").unwrap_or((request, ""));
    let length = body.len();
    let text = format!(
        "{head}\r\nhost: host.example\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}"
    );
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    // A cut answer ends with a reset, which the caller sees as an error after what it has read.
    drop(
        time::timeout(PATIENCE, read)
            .await
            .expect("an answer in time"),
    );
    String::from_utf8_lossy(&answer).into_owned()
}

const LOOK: &str = "GET /look/1 HTTP/1.1\r\nid: r1\r\nkey: key\r\nteam: other";
const ORDER: &str = "POST /order/1 HTTP/1.1\r\nid: r1\r\nkey: key\r\n\r\nbody";
const DRAFT: &str = "POST /draft/1 HTTP/1.1\r\nid: r1\r\nkey: key\r\n\r\nprompt";

#[tokio::test(flavor = "multi_thread")]
async fn whole_answer() {
    let stand = Stand::start(Arc::new(|r| vec![say(r, "found")])).await;
    let entry = entry("orders", &[&stand]).await;
    let answer = call(entry, LOOK).await;
    assert!(
        answer.starts_with("HTTP/1.1 200 OK") && answer.ends_with("found"),
        "{answer}"
    );
    let request = stand.seen.lock().unwrap()[0].clone();
    assert_eq!(
        header(&request, "team"),
        Some("team"),
        "not what the caller claims"
    );
    assert_eq!(header(&request, "key"), None, "{request}");
    assert_eq!(header(&request, "endpoint"), Some("e0"));
}

#[tokio::test(flavor = "multi_thread")]
async fn cut_answer_repeated() {
    let cut = |r: &str| {
        let Act::Say(text) = say(r, "found") else {
            unreachable!()
        };
        vec![Act::Say(text[..text.len() - 2].to_owned()), Act::Close]
    };
    let broken = Stand::start(Arc::new(cut)).await;
    let sound = Stand::start(Arc::new(|r| vec![say(r, "found")])).await;
    let entry = entry("orders", &[&broken, &sound]).await;
    for _ in 0..4 {
        let answer = call(entry, LOOK).await;
        assert!(answer.ends_with("found"), "{answer}");
    }
    let before = broken.runs() + sound.runs();
    let answer = call(entry, ORDER).await;
    assert!(
        answer.starts_with("HTTP/1.1 502") || answer.ends_with("found"),
        "{answer}"
    );
    assert_eq!(
        broken.runs() + sound.runs(),
        before + 1,
        "an order is sent once"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn order_after_refusal() {
    let full = |_: &str| {
        vec![Act::Say(
            "HTTP/1.1 503 Full\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n".to_owned(),
        )]
    };
    let full = Stand::start(Arc::new(full)).await;
    let sound = Stand::start(Arc::new(|r| vec![say(r, "done")])).await;
    let entry = entry("orders", &[&full, &sound]).await;
    for _ in 0..6 {
        let answer = call(entry, ORDER).await;
        assert!(answer.ends_with("done"), "{answer}");
    }
    assert_eq!(sound.runs(), 6);
}

#[tokio::test(flavor = "multi_thread")]
async fn foreign_answer_dropped() {
    let foreign = |_: &str| {
        let text = "HTTP/1.1 200 OK\r\nid: r0\r\nsigned: yes\r\ncontent-length: 6\r\n\r\nsecret";
        vec![Act::Say(text.to_owned())]
    };
    let stand = Stand::start(Arc::new(foreign)).await;
    let entry = entry("orders", &[&stand]).await;
    for request in [LOOK, ORDER] {
        let answer = call(entry, request).await;
        assert!(
            answer.starts_with("HTTP/1.1 502") && !answer.contains("secret"),
            "{answer}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn surplus_answer_dropped() {
    let surplus = |r: &str| {
        let late = "HTTP/1.1 200 OK\r\nid: r0\r\nsigned: yes\r\ncontent-length: 6\r\n\r\nsecret";
        vec![
            say(r, "found"),
            Act::Wait(Duration::from_millis(30)),
            Act::Say(late.to_owned()),
        ]
    };
    let stand = Stand::start(Arc::new(surplus)).await;
    let entry = entry("orders", &[&stand]).await;
    for _ in 0..5 {
        let answer = call(entry, LOOK).await;
        assert!(!answer.contains("secret"), "{answer}");
        time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_goes_on_elsewhere() {
    let script = |r: &str| match header(r, "last") {
        None => vec![
            open_stream(r),
            event(1),
            event(2),
            Act::Say("8\r\nid: 3\nda\r\n".to_owned()),
            Act::Wait(Duration::from_millis(50)),
            Act::Close,
        ],
        Some(last) => {
            assert_eq!(last, "2");
            vec![open_stream(r), event(2), event(3), event(4), end()]
        }
    };
    let stands = [
        Stand::start(Arc::new(script)).await,
        Stand::start(Arc::new(script)).await,
    ];
    let entry = entry("drafts", &[&stands[0], &stands[1]]).await;
    let answer = call(entry, DRAFT).await;
    let ids: Vec<&str> = answer
        .lines()
        .filter_map(|line| line.strip_prefix("id: "))
        .collect();
    assert_eq!(ids, ["r1", "1", "2", "3", "4"], "{answer}");
    assert!(answer.ends_with("0\r\n\r\n"), "{answer}");
}

#[tokio::test(flavor = "multi_thread")]
async fn cut_stream_looks_cut() {
    let script = |r: &str| vec![open_stream(r), event(1), Act::Close];
    let stand = Stand::start(Arc::new(script)).await;
    let entry = entry("drafts", &[&stand]).await;
    let answer = call(entry, DRAFT).await;
    assert!(
        answer.contains("data: x") && !answer.ends_with("0\r\n\r\n"),
        "{answer}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_caller_cancels() {
    let script = |r: &str| {
        let mut acts = vec![open_stream(r), event(1)];
        acts.push(Act::Wait(Duration::from_secs(5)));
        acts
    };
    let stand = Stand::start(Arc::new(script)).await;
    let entry = entry("drafts", &[&stand]).await;
    let mut stream = TcpStream::connect(entry).await.unwrap();
    let request = "POST /draft/1 HTTP/1.1\r\nid: r1\r\nkey: key\r\nhost: host.example\r\ncontent-length: 0\r\n\r\n";
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut chunk = [0; 64];
    assert!(stream.read(&mut chunk).await.unwrap() > 0);
    drop(stream);
    time::sleep(Duration::from_millis(400)).await;
    assert_eq!(*stand.left.lock().unwrap(), 1);
}

/// The route of drafts lets callers wait 1 s for an event; the deadline is 3 s.
#[tokio::test(flavor = "multi_thread")]
async fn silent_stream_answered() {
    let script = |_: &str| vec![Act::Wait(Duration::from_secs(5))];
    let stands = [
        Stand::start(Arc::new(script)).await,
        Stand::start(Arc::new(script)).await,
    ];
    let entry = entry("drafts", &[&stands[0], &stands[1]]).await;
    let began = std::time::Instant::now();
    let answer = call(entry, DRAFT).await;
    let took = began.elapsed();
    assert!(answer.starts_with("HTTP/1.1 504"), "{answer}");
    assert!(took < Duration::from_secs(1), "{took:?}");
    time::sleep(Duration::from_millis(300)).await;
    let left: u32 = stands.iter().map(|stand| *stand.left.lock().unwrap()).sum();
    let runs: usize = stands.iter().map(Stand::runs).sum();
    assert_eq!(
        (left, runs),
        (1, 1),
        "it is cancelled, and no other gets it"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_requests_refused() {
    let stand = Stand::start(Arc::new(|r| vec![say(r, "found")])).await;
    let entry = entry("orders", &[&stand]).await;
    let large = "x".repeat(5000);
    let cases = [
        (
            "GET /look/1 HTTP/1.1\r\nid: r1\r\nkey: unknown".to_owned(),
            "401",
        ),
        ("GET /look/1 HTTP/1.1\r\nid: r1".to_owned(), "401"),
        (
            "GET /looks HTTP/1.1\r\nid: r1\r\nkey: key".to_owned(),
            "404",
        ),
        ("GET /look/1 HTTP/1.1\r\nkey: key".to_owned(), "400"),
        (
            format!("POST /order/1 HTTP/1.1\r\nid: r1\r\nkey: key\r\n\r\n{large}"),
            "413",
        ),
        (
            "GET /look/far/1 HTTP/1.1\r\nid: r1\r\nkey: key".to_owned(),
            "503",
        ),
        (
            format!(
                "GET /look/1 HTTP/1.1\r\nid: r1\r\nkey: {}",
                "k".repeat(70_000)
            ),
            "431",
        ),
        ("bad request line".to_owned(), "400"),
    ];
    for (request, status) in cases {
        let answer = call(entry, &request).await;
        let shown: String = request.chars().take(60).collect();
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status}")),
            "{shown}: {answer}"
        );
    }
    assert_eq!(stand.runs(), 0);
    assert!(
        call(entry, LOOK).await.ends_with("found"),
        "the entry goes on"
    );
}
