//! Runs an entry on loopback between test clients and scripted endpoints.

use std::{
    net::SocketAddr,
    path::PathBuf,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU16, Ordering},
    },
    time::Duration,
};

use direct::{Listen, Protocol, Settings, metadata};
use fault::{ErrorKind, Fault};
use fleet::{Change, Configuration, Content, Item, Page, Patience, Revision, Source, SourceError};
use futures::future::BoxFuture;
use http::{HeaderMap, HeaderValue, StatusCode, request, response};
use smol_str::SmolStr;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    time,
};

use crate::support;

/// Time limit for a response on loopback.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Protocol with one plain header for each piece of metadata.
struct TestProtocol;

fn header_text(headers: &HeaderMap, name: &str) -> Option<SmolStr> {
    headers.get(name)?.to_str().ok().map(SmolStr::new)
}

impl Protocol for TestProtocol {
    fn decode_request(&self, head: &request::Parts) -> Result<metadata::Request, ErrorKind> {
        Ok(metadata::Request {
            id: header_text(&head.headers, "id").ok_or(ErrorKind::Malformed)?,
            key: header_text(&head.headers, "key"),
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
        headers.insert("priority", HeaderValue::from(u16::from(forwarded.priority)));
        if let Some(last) = forwarded.last_event {
            headers.insert("last", HeaderValue::from_str(last).unwrap());
        }
    }

    fn decode_response(&self, head: &response::Parts) -> metadata::Response {
        metadata::Response {
            request_id: header_text(&head.headers, "id"),
            not_run: head.headers.contains_key("not-run"),
            signed: head.headers.contains_key("signed"),
            leaving: head.headers.contains_key("leaving"),
            pause: header_text(&head.headers, "pause")
                .map(|seconds| Duration::from_secs(seconds.parse().unwrap())),
            ..metadata::Response::default()
        }
    }

    fn status(&self, fault: &Fault) -> StatusCode {
        fault.kind().response().status
    }

    fn states_not_run(&self, status: StatusCode) -> bool {
        status == StatusCode::SERVICE_UNAVAILABLE
    }

    fn retry_after(&self, _: Duration) -> HeaderValue {
        HeaderValue::from_static("1")
    }
}

/// Store that lists one page and never reports a change.
struct FixedStore(Mutex<Option<Page>>);

impl Source for FixedStore {
    fn list(&self, _: Patience) -> BoxFuture<'_, Result<Page, SourceError>> {
        let page = self.0.lock().unwrap().take().unwrap_or_default();
        Box::pin(async move { Ok(page) })
    }

    fn watch(&self, _: Revision, _: Patience) -> BoxFuture<'_, Result<Page, SourceError>> {
        Box::pin(std::future::pending())
    }
}

/// Step of an endpoint that handles a request.
#[derive(Clone)]
enum Action {
    /// Writes text to the connection.
    Write(String),
    /// Waits, or stops early if the client closes the connection.
    Wait(Duration),
    /// Closes the connection.
    Close,
    /// Writes a text again and again until the client closes the connection.
    Repeat(&'static str),
}

type Script = Arc<dyn Fn(&str) -> Vec<Action> + Send + Sync>;

/// Scripted endpoint that records the requests and counts the connections that were closed during a
/// wait.
struct TestEndpoint {
    address: SocketAddr,
    requests: Arc<Mutex<Vec<String>>>,
    cancelled: Arc<Mutex<u32>>,
}

impl TestEndpoint {
    async fn start(script: Script) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (requests, cancelled) = (
            Arc::<Mutex<Vec<String>>>::default(),
            Arc::<Mutex<u32>>::default(),
        );
        let (requests_read, cancellations) = (requests.clone(), cancelled.clone());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(
                    stream,
                    script.clone(),
                    requests_read.clone(),
                    cancellations.clone(),
                ));
            }
        });
        Self {
            address,
            requests,
            cancelled,
        }
    }

    fn request_count(&self) -> usize {
        self.requests.lock().unwrap().len()
    }
}

async fn serve(
    mut stream: TcpStream,
    script: Script,
    requests: Arc<Mutex<Vec<String>>>,
    cancelled: Arc<Mutex<u32>>,
) {
    loop {
        let Some(request) = read_request(&mut stream).await else {
            return;
        };
        requests.lock().unwrap().push(request.clone());
        for action in script(&request) {
            match action {
                Action::Write(text) => {
                    if stream.write_all(text.as_bytes()).await.is_err() {
                        return;
                    }
                }
                Action::Wait(span) => {
                    let mut byte = [0];
                    if time::timeout(span, stream.read(&mut byte)).await.is_ok() {
                        *cancelled.lock().unwrap() += 1;
                        return;
                    }
                }
                Action::Close => return,
                Action::Repeat(text) => {
                    while stream.write_all(text.as_bytes()).await.is_ok() {}
                    *cancelled.lock().unwrap() += 1;
                    return;
                }
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

fn ok_response(request: &str, body: &str) -> Action {
    let id = header(request, "id").unwrap();
    let length = body.len();
    Action::Write(format!(
        "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: yes\r\ncontent-length: {length}\r\n\r\n{body}"
    ))
}

fn stream_head(request: &str) -> Action {
    let id = header(request, "id").unwrap();
    Action::Write(format!(
        "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: yes\r\ntransfer-encoding: chunked\r\n\r\n"
    ))
}

fn event(id: u32) -> Action {
    let text = format!("id: {id}\ndata: x\n\n");
    Action::Write(format!("{:x}\r\n{text}\r\n", text.len()))
}

fn stream_end() -> Action {
    Action::Write("0\r\n\r\n".to_owned())
}

/// Returns a loopback address that no other test of this process uses, nor one of another process.
fn unused_address() -> SocketAddr {
    static COUNT: AtomicU16 = AtomicU16::new(1);
    let [high, low] = COUNT.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    let process = 10 + (std::process::id() % 240) as u8;
    ([127, process, high, low], 7000).into()
}

/// Starts an entry in front of the endpoints of one service; returns its address for clients.
async fn start_entry(service: &str, endpoints: &[&TestEndpoint]) -> SocketAddr {
    start_configured(support::configuration(1), service, endpoints).await
}

/// Starts an entry with a configuration in front of the endpoints of one service.
async fn start_configured(
    configuration: Configuration,
    service: &str,
    endpoints: &[&TestEndpoint],
) -> SocketAddr {
    start_observed(configuration, service, endpoints).await.0
}

/// Starts an entry with a configuration; returns its addresses for clients and for operators.
async fn start_observed(
    configuration: Configuration,
    service: &str,
    endpoints: &[&TestEndpoint],
) -> (SocketAddr, SocketAddr) {
    let mut changes = vec![Change::Put(Item {
        key: "configuration".into(),
        revision: 1.into(),
        content: Content::Configuration(Arc::new(configuration)),
    })];
    for (index, endpoint) in endpoints.iter().enumerate() {
        let endpoint = support::endpoint(service, "a", endpoint.address);
        let id: SmolStr = format!("e{index}").into();
        changes.push(Change::Put(Item {
            key: id.clone(),
            revision: 2.into(),
            content: Content::Endpoint(id, Arc::new(endpoint)),
        }));
    }
    let page = Page {
        changes,
        covered: 2.into(),
        keys: None,
        lapsing: Duration::ZERO,
    };
    start_following(Arc::new(FixedStore(Mutex::new(Some(page))))).await
}

/// Starts an entry that follows a store; returns its addresses for clients and for operators.
pub(crate) async fn start_following(source: Arc<dyn Source>) -> (SocketAddr, SocketAddr) {
    let (address, operators) = (unused_address(), unused_address());
    let settings = Settings {
        name: "entry-a".into(),
        zone: "a".into(),
        listen: Listen {
            callers: address,
            ready: unused_address(),
            peers: unused_address(),
            gossip: unused_address(),
            groups: unused_address(),
            operators,
        },
        store: unused_address(),
        seeds: Vec::new(),
        first_start: true,
        bounds: support::bounds(),
        limits: conf::Limits::default(),
        log: conf::Level::Info,
    };
    tokio::spawn(direct::run(
        settings,
        PathBuf::from("/nowhere"),
        Arc::new(TestProtocol),
        source,
    ));
    for _ in 0..200 {
        if call(address, "GET /nothing HTTP/1.1\r\nid: probe")
            .await
            .starts_with("HTTP/1.1 404")
        {
            return (address, operators);
        }
        time::sleep(Duration::from_millis(20)).await;
    }
    panic!("the entry does not respond");
}

/// Sends one request and returns what the entry sends until it closes the connection.
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
    let mut response = Vec::new();
    let read = stream.read_to_end(&mut response);
    // An aborted response ends with a connection reset, an error after the bytes that were read.
    drop(
        time::timeout(RESPONSE_TIMEOUT, read)
            .await
            .expect("a response in time"),
    );
    String::from_utf8_lossy(&response).into_owned()
}

const LOOK: &str = "GET /look/1 HTTP/1.1\r\nid: r1\r\nkey: key\r\nteam: other";
const ORDER: &str = "POST /order/1 HTTP/1.1\r\nid: r1\r\nkey: key\r\n\r\nbody";
const DRAFT: &str = "POST /draft/1 HTTP/1.1\r\nid: r1\r\nkey: key\r\n\r\nprompt";

#[tokio::test(flavor = "multi_thread")]
async fn complete_response() {
    let endpoint = TestEndpoint::start(Arc::new(|r| vec![ok_response(r, "found")])).await;
    let entry = start_entry("orders", &[&endpoint]).await;
    let response = call(entry, LOOK).await;
    assert!(
        response.starts_with("HTTP/1.1 200 OK") && response.ends_with("found"),
        "{response}"
    );
    let request = endpoint.requests.lock().unwrap()[0].clone();
    assert_eq!(
        header(&request, "team"),
        Some("team"),
        "the client cannot choose its team"
    );
    assert_eq!(header(&request, "key"), None, "{request}");
    assert_eq!(header(&request, "endpoint"), Some("e0"));
}

#[tokio::test(flavor = "multi_thread")]
async fn incomplete_response_retried() {
    let incomplete = |r: &str| {
        let Action::Write(text) = ok_response(r, "found") else {
            unreachable!()
        };
        vec![
            Action::Write(text[..text.len() - 2].to_owned()),
            Action::Close,
        ]
    };
    let broken = TestEndpoint::start(Arc::new(incomplete)).await;
    let healthy = TestEndpoint::start(Arc::new(|r| vec![ok_response(r, "found")])).await;
    let entry = start_entry("orders", &[&broken, &healthy]).await;
    for _ in 0..4 {
        let response = call(entry, LOOK).await;
        assert!(response.ends_with("found"), "{response}");
    }
    let before = broken.request_count() + healthy.request_count();
    let response = call(entry, ORDER).await;
    assert!(
        response.starts_with("HTTP/1.1 502") || response.ends_with("found"),
        "{response}"
    );
    assert_eq!(
        broken.request_count() + healthy.request_count(),
        before + 1,
        "a request that must not be repeated is sent once"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn declined_order_retried() {
    let full = |_: &str| {
        vec![Action::Write(
            "HTTP/1.1 503 Full\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n".to_owned(),
        )]
    };
    let full = TestEndpoint::start(Arc::new(full)).await;
    let healthy = TestEndpoint::start(Arc::new(|r| vec![ok_response(r, "done")])).await;
    let entry = start_entry("orders", &[&full, &healthy]).await;
    for _ in 0..6 {
        let response = call(entry, ORDER).await;
        assert!(response.ends_with("done"), "{response}");
    }
    assert_eq!(healthy.request_count(), 6);
}

const REFUSAL: &str = "HTTP/1.1 503 Full\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n";

/// Returns a script that refuses the first request, and answers each later one with that refusal again and
/// then, as it ran it, with a response.
fn repeat_refusal() -> Script {
    let count = AtomicU16::new(0);
    Arc::new(move |r: &str| {
        let refusal = Action::Write(REFUSAL.to_owned());
        match count.fetch_add(1, Ordering::Relaxed) {
            0 => vec![refusal],
            _ => vec![refusal, ok_response(r, "done")],
        }
    })
}

/// Guards against an earlier refusal that a faulty endpoint writes again on a kept connection, and that is
/// taken for one of a request which it runs.
#[tokio::test(flavor = "multi_thread")]
async fn repeated_refusal_disbelieved() {
    let endpoint = TestEndpoint::start(repeat_refusal()).await;
    let entry = start_entry("orders", &[&endpoint]).await;
    let response = call(entry, LOOK).await;
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    time::sleep(Duration::from_millis(50)).await;
    let response = call(entry, LOOK).await;
    assert_eq!(endpoint.request_count(), 2);
    assert!(
        response.starts_with("HTTP/1.1 502"),
        "the endpoint has run the request: {response}"
    );
}

/// Guards against the same for a stream that is sent on: the endpoint counts as one that may have run it.
#[tokio::test(flavor = "multi_thread")]
async fn repeated_refusal_counts_as_run() {
    let faulty = [
        TestEndpoint::start(repeat_refusal()).await,
        TestEndpoint::start(repeat_refusal()).await,
        TestEndpoint::start(repeat_refusal()).await,
    ];
    let entry = start_entry("drafts", &[&faulty[0], &faulty[1], &faulty[2]]).await;
    call(entry, DRAFT).await;
    call(entry, DRAFT).await;
    time::sleep(Duration::from_millis(50)).await;
    let count = || {
        faulty
            .iter()
            .map(TestEndpoint::request_count)
            .sum::<usize>()
    };
    let before = count();
    let response = call(entry, DRAFT).await;
    assert!(
        !response.starts_with("HTTP/1.1 503") || count() == before,
        "{response}"
    );
    assert!(
        count() - before <= 2,
        "more endpoints than the route allows"
    );
}

/// A request that may not be repeated is never sent on a kept connection, where an earlier refusal could come.
#[tokio::test(flavor = "multi_thread")]
async fn order_on_new_connection() {
    let endpoint = TestEndpoint::start(Arc::new(|r: &str| {
        let refusal = Action::Write(REFUSAL.to_owned());
        // The refusal of an order comes once more while the next request is awaited.
        match header(r, "id") {
            Some("r1") => vec![
                refusal.clone(),
                Action::Wait(Duration::from_millis(100)),
                refusal,
            ],
            _ => vec![ok_response(r, "done")],
        }
    }))
    .await;
    let entry = start_entry("orders", &[&endpoint]).await;
    let response = call(entry, ORDER).await;
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    let next = ORDER.replace("id: r1", "id: r2");
    let response = call(entry, &next).await;
    assert!(response.ends_with("done"), "{response}");
    assert_eq!(endpoint.request_count(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn mismatched_response_discarded() {
    let foreign = |_: &str| {
        let text = "HTTP/1.1 200 OK\r\nid: r0\r\nsigned: yes\r\ncontent-length: 6\r\n\r\nsecret";
        vec![Action::Write(text.to_owned())]
    };
    let endpoint = TestEndpoint::start(Arc::new(foreign)).await;
    let entry = start_entry("orders", &[&endpoint]).await;
    for request in [LOOK, ORDER] {
        let response = call(entry, request).await;
        assert!(
            response.starts_with("HTTP/1.1 502") && !response.contains("secret"),
            "{response}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn unsolicited_response_discarded() {
    let surplus = |r: &str| {
        let late = "HTTP/1.1 200 OK\r\nid: r0\r\nsigned: yes\r\ncontent-length: 6\r\n\r\nsecret";
        vec![
            ok_response(r, "found"),
            Action::Wait(Duration::from_millis(30)),
            Action::Write(late.to_owned()),
        ]
    };
    let endpoint = TestEndpoint::start(Arc::new(surplus)).await;
    let entry = start_entry("orders", &[&endpoint]).await;
    for _ in 0..5 {
        let response = call(entry, LOOK).await;
        assert!(!response.contains("secret"), "{response}");
        time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn broken_stream_resumed() {
    let script = |r: &str| match header(r, "last") {
        None => vec![
            stream_head(r),
            event(1),
            event(2),
            Action::Write("8\r\nid: 3\nda\r\n".to_owned()),
            Action::Wait(Duration::from_millis(50)),
            Action::Close,
        ],
        Some(last) => {
            assert_eq!(last, "2");
            vec![stream_head(r), event(2), event(3), event(4), stream_end()]
        }
    };
    let endpoints = [
        TestEndpoint::start(Arc::new(script)).await,
        TestEndpoint::start(Arc::new(script)).await,
    ];
    let entry = start_entry("drafts", &[&endpoints[0], &endpoints[1]]).await;
    let response = call(entry, DRAFT).await;
    let ids: Vec<&str> = response
        .lines()
        .filter_map(|line| line.strip_prefix("id: "))
        .collect();
    assert_eq!(ids, ["r1", "1", "2", "3", "4"], "{response}");
    assert!(response.ends_with("0\r\n\r\n"), "{response}");
}

/// Returns a stream's head without a length or chunks; the stream ends with its connection.
fn unframed_head(request: &str) -> Action {
    let id = header(request, "id").unwrap();
    Action::Write(format!(
        "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: yes\r\n\r\n"
    ))
}

fn unframed_event(id: u32) -> Action {
    Action::Write(format!("id: {id}\ndata: x\n\n"))
}

/// Returns the ids of the events in a response.
fn event_ids(response: &str) -> Vec<&str> {
    let (_, body) = response.split_once("\r\n\r\n").unwrap_or_default();
    let ids = body.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn unframed_stream_delivered() {
    let script = |r: &str| {
        vec![
            unframed_head(r),
            unframed_event(1),
            unframed_event(2),
            Action::Close,
        ]
    };
    let endpoint = TestEndpoint::start(Arc::new(script)).await;
    let entry = start_entry("drafts", &[&endpoint]).await;
    let response = call(entry, DRAFT).await;
    assert_eq!(event_ids(&response), ["1", "2"], "{response}");
    assert!(response.ends_with("0\r\n\r\n"), "{response}");
}

/// Guards against a stream without a length that breaks inside an event and is taken for complete.
#[tokio::test(flavor = "multi_thread")]
async fn unframed_stream_resumed() {
    let script = |r: &str| match header(r, "last") {
        None => vec![
            unframed_head(r),
            unframed_event(1),
            Action::Write("id: 2\nda".to_owned()),
            Action::Close,
        ],
        Some(_) => vec![unframed_head(r), unframed_event(2), Action::Close],
    };
    let endpoints = [
        TestEndpoint::start(Arc::new(script)).await,
        TestEndpoint::start(Arc::new(script)).await,
    ];
    let entry = start_entry("drafts", &[&endpoints[0], &endpoints[1]]).await;
    let response = call(entry, DRAFT).await;
    assert_eq!(event_ids(&response), ["1", "2"], "{response}");
    assert!(response.ends_with("0\r\n\r\n"), "{response}");
}

/// Guards against an endpoint that ends before the first event, and whose stream without a length is taken for
/// a complete one (ORDER).
#[tokio::test(flavor = "multi_thread")]
async fn empty_stream_retried() {
    let count = AtomicU16::new(0);
    let script = move |r: &str| match count.fetch_add(1, Ordering::Relaxed) {
        0 => vec![unframed_head(r), Action::Close],
        _ => vec![stream_head(r), event(1), stream_end()],
    };
    let script: Script = Arc::new(script);
    let endpoints = [
        TestEndpoint::start(script.clone()).await,
        TestEndpoint::start(script).await,
    ];
    let entry = start_entry("drafts", &[&endpoints[0], &endpoints[1]]).await;
    let response = call(entry, DRAFT).await;
    assert_eq!(event_ids(&response), ["1"], "{response}");
}

#[tokio::test(flavor = "multi_thread")]
async fn aborted_stream_incomplete() {
    let script = |r: &str| vec![stream_head(r), event(1), Action::Close];
    let endpoint = TestEndpoint::start(Arc::new(script)).await;
    let entry = start_entry("drafts", &[&endpoint]).await;
    let response = call(entry, DRAFT).await;
    assert!(
        response.contains("data: x") && !response.ends_with("0\r\n\r\n"),
        "{response}"
    );
}

/// Guards against the error of an endpoint that was to resume a stream and appears in its middle, or ends it as
/// if it were complete.
#[tokio::test(flavor = "multi_thread")]
async fn failed_resumption_incomplete() {
    let errors = [
        "HTTP/1.1 500 Error\r\nid: r1\r\nsigned: yes\r\ncontent-length: 4\r\n\r\nboom",
        "HTTP/1.1 503 Full\r\nid: r1\r\nnot-run: 1\r\ncontent-length: 4\r\n\r\nboom",
        "HTTP/1.1 404 boom\r\nid: r1\r\nsigned: yes\r\ntransfer-encoding: chunked\r\n\r\n4\r\nboom\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nid: r1\r\ncontent-length: 4\r\n\r\nboom",
        "HTTP/1.1 200 OK\r\nid: r0\r\nsigned: yes\r\ncontent-length: 15\r\n\r\nid: 2\ndata: boom\n\n",
        "boom\r\n\r\n",
    ];
    for error in errors {
        let script = move |r: &str| match header(r, "last") {
            None => vec![
                stream_head(r),
                event(1),
                Action::Wait(Duration::from_millis(50)),
                Action::Close,
            ],
            Some(_) => vec![Action::Write(error.to_owned()), Action::Close],
        };
        let endpoints = [
            TestEndpoint::start(Arc::new(script)).await,
            TestEndpoint::start(Arc::new(script)).await,
        ];
        let entry = start_entry("drafts", &[&endpoints[0], &endpoints[1]]).await;
        let response = call(entry, DRAFT).await;
        assert_eq!(event_ids(&response), ["1"], "{error}: {response}");
        assert!(
            !response.contains("boom") && response.matches("HTTP/1.1").count() == 1,
            "{error}: {response}"
        );
        assert!(!response.ends_with("0\r\n\r\n"), "{error}: {response}");
        let count: usize = endpoints.iter().map(TestEndpoint::request_count).sum();
        assert_eq!(count, 2, "{error}: the stream was to be resumed");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn disconnect_cancels_request() {
    let script = |r: &str| {
        let mut actions = vec![stream_head(r), event(1)];
        actions.push(Action::Wait(Duration::from_secs(5)));
        actions
    };
    let endpoint = TestEndpoint::start(Arc::new(script)).await;
    let entry = start_entry("drafts", &[&endpoint]).await;
    let mut stream = TcpStream::connect(entry).await.unwrap();
    let request = "POST /draft/1 HTTP/1.1\r\nid: r1\r\nkey: key\r\nhost: host.example\r\ncontent-length: 0\r\n\r\n";
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut chunk = [0; 64];
    assert!(stream.read(&mut chunk).await.unwrap() > 0);
    drop(stream);
    time::sleep(Duration::from_millis(400)).await;
    assert_eq!(*endpoint.cancelled.lock().unwrap(), 1);
}

/// On the draft route clients wait 1 s for the first event; the timeout of the route is 3 s.
#[tokio::test(flavor = "multi_thread")]
async fn silent_stream_cancelled() {
    let script = |_: &str| vec![Action::Wait(Duration::from_secs(5))];
    let endpoints = [
        TestEndpoint::start(Arc::new(script)).await,
        TestEndpoint::start(Arc::new(script)).await,
    ];
    let entry = start_entry("drafts", &[&endpoints[0], &endpoints[1]]).await;
    let started = std::time::Instant::now();
    let response = call(entry, DRAFT).await;
    let elapsed = started.elapsed();
    assert!(response.starts_with("HTTP/1.1 504"), "{response}");
    assert!(elapsed < Duration::from_secs(1), "{elapsed:?}");
    time::sleep(Duration::from_millis(300)).await;
    let cancelled: u32 = endpoints
        .iter()
        .map(|endpoint| *endpoint.cancelled.lock().unwrap())
        .sum();
    let requests: usize = endpoints.iter().map(TestEndpoint::request_count).sum();
    assert_eq!(
        (cancelled, requests),
        (1, 1),
        "the request is cancelled and not sent to the other endpoint"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_rejected() {
    let endpoint = TestEndpoint::start(Arc::new(|r| vec![ok_response(r, "found")])).await;
    let entry = start_entry("orders", &[&endpoint]).await;
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
        let response = call(entry, &request).await;
        let excerpt: String = request.chars().take(60).collect();
        assert!(
            response.starts_with(&format!("HTTP/1.1 {status}")),
            "{excerpt}: {response}"
        );
    }
    assert_eq!(endpoint.request_count(), 0);
    assert!(
        call(entry, LOOK).await.ends_with("found"),
        "the entry still responds"
    );
}

/// Time within which the entry must give up on a response that never ends.
const ENDLESS_LIMIT: Duration = Duration::from_millis(1900);

/// Sends an order to an endpoint whose response never ends and to a healthy one; returns the slowest
/// response, and how often the endless connection was closed.
async fn call_beside_endless(head: &'static str, endless: &'static str) -> (Vec<String>, u32) {
    let script = move |_: &str| vec![Action::Write(head.to_owned()), Action::Repeat(endless)];
    let faulty = TestEndpoint::start(Arc::new(script)).await;
    let healthy = TestEndpoint::start(Arc::new(|r| vec![ok_response(r, "done")])).await;
    let entry = start_entry("orders", &[&faulty, &healthy]).await;
    let mut responses = Vec::new();
    for _ in 0..4 {
        let response = time::timeout(ENDLESS_LIMIT, call(entry, ORDER)).await;
        responses.push(response.expect("an endless response delays the client's"));
    }
    time::sleep(Duration::from_millis(100)).await;
    let cancelled = *faulty.cancelled.lock().unwrap();
    assert_eq!(
        cancelled as usize,
        faulty.request_count(),
        "each endless connection is closed"
    );
    (responses, cancelled)
}

#[tokio::test(flavor = "multi_thread")]
async fn endless_head_ended() {
    let (responses, _) =
        call_beside_endless("HTTP/1.1 200 OK\r\n", "x-noise: 0123456789\r\n").await;
    let is_true =
        |response: &String| response.ends_with("done") || response.starts_with("HTTP/1.1 502");
    assert!(responses.iter().all(is_true), "{responses:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn endless_bytes_ended() {
    let (responses, _) = call_beside_endless("", "\u{1}noise that is no answer").await;
    let is_true =
        |response: &String| response.ends_with("done") || response.starts_with("HTTP/1.1 502");
    assert!(responses.iter().all(is_true), "{responses:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn endless_body_ended() {
    let head = "HTTP/1.1 200 OK\r\nid: r1\r\nsigned: yes\r\ntransfer-encoding: chunked\r\n\r\n";
    let (responses, _) = call_beside_endless(head, "5\r\nnoise\r\n").await;
    let is_true =
        |response: &String| response.ends_with("done") || response.starts_with("HTTP/1.1 502");
    assert!(responses.iter().all(is_true), "{responses:?}");
}

/// Guards against a buffered response whose processing time grows with its chunks while its bytes stay
/// below the size limit; the result depends on the number of chunks only.
#[tokio::test(flavor = "multi_thread")]
async fn many_chunks_refused() {
    let script = |_: &str| {
        let head = "HTTP/1.1 200 OK\r\nid: r1\r\nsigned: yes\r\ntransfer-encoding: chunked\r\n\r\n";
        let body = "5\r\nnoise\r\n".repeat(20_000);
        vec![Action::Write(format!("{head}{body}0\r\n\r\n"))]
    };
    let endpoint = TestEndpoint::start(Arc::new(script)).await;
    let entry = start_entry("orders", &[&endpoint]).await;
    let response = call(entry, ORDER).await;
    let status: String = response.chars().take(12).collect();
    assert_eq!(status, "HTTP/1.1 502", "{} bytes", response.len());
}

/// Guards against a request body whose processing time and memory grow with its chunks while its bytes
/// stay below the size limit.
#[tokio::test(flavor = "multi_thread")]
async fn many_request_chunks_refused() {
    let endpoint = TestEndpoint::start(Arc::new(|r| vec![ok_response(r, "done")])).await;
    let entry = start_entry("orders", &[&endpoint]).await;
    for (chunks, status) in [(1000, "HTTP/1.1 200"), (1100, "HTTP/1.1 413")] {
        let body = "1\r\nx\r\n".repeat(chunks);
        let head = "POST /order/1 HTTP/1.1\r\nid: r1\r\nkey: key\r\nhost: host.example\r\nconnection: close";
        let mut stream = TcpStream::connect(entry).await.unwrap();
        let request = format!("{head}\r\ntransfer-encoding: chunked\r\n\r\n{body}0\r\n\r\n");
        stream.write_all(request.as_bytes()).await.unwrap();
        let mut response = [0; 12];
        stream.read_exact(&mut response).await.unwrap();
        assert_eq!(
            String::from_utf8_lossy(&response),
            status,
            "{chunks} chunks"
        );
    }
}

/// Guards against waiting for the end of a body that belongs to a response without use.
#[tokio::test(flavor = "multi_thread")]
async fn endless_decline_retried() {
    let head = "HTTP/1.1 503 Full\r\nnot-run: 1\r\ntransfer-encoding: chunked\r\n\r\n";
    let (responses, _) = call_beside_endless(head, "5\r\nnoise\r\n").await;
    assert!(
        responses.iter().all(|response| response.ends_with("done")),
        "{responses:?}"
    );
}

/// Guards against waiting for a slow body of a response without use until the client's deadline.
#[tokio::test(flavor = "multi_thread")]
async fn slow_decline_retried() {
    let script = |_: &str| {
        let head = "HTTP/1.1 503 Full\r\nnot-run: 1\r\ntransfer-encoding: chunked\r\n\r\n";
        vec![
            Action::Write(head.to_owned()),
            Action::Wait(Duration::from_secs(5)),
        ]
    };
    let slow = TestEndpoint::start(Arc::new(script)).await;
    let healthy = TestEndpoint::start(Arc::new(|r| vec![ok_response(r, "done")])).await;
    let entry = start_entry("orders", &[&slow, &healthy]).await;
    for _ in 0..4 {
        let response = time::timeout(Duration::from_millis(500), call(entry, ORDER)).await;
        assert!(response.unwrap().ends_with("done"));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_endpoint_unused() {
    let leaving = |_: &str| {
        let text = "HTTP/1.1 200 OK\r\nid: r1\r\nsigned: yes\r\nleaving: 1\r\ncontent-length: 4\r\n\r\ndone";
        vec![Action::Write(text.to_owned())]
    };
    let leaving = TestEndpoint::start(Arc::new(leaving)).await;
    let healthy = TestEndpoint::start(Arc::new(|r| vec![ok_response(r, "done")])).await;
    let entry = start_entry("orders", &[&leaving, &healthy]).await;
    for _ in 0..12 {
        assert!(call(entry, ORDER).await.ends_with("done"));
    }
    assert!(leaving.request_count() <= 1, "{}", leaving.request_count());
}

#[tokio::test(flavor = "multi_thread")]
async fn paused_endpoint_unused() {
    let full = |_: &str| {
        let text = "HTTP/1.1 503 Full\r\nnot-run: 1\r\npause: 4\r\ncontent-length: 0\r\n\r\n";
        vec![Action::Write(text.to_owned())]
    };
    let full = TestEndpoint::start(Arc::new(full)).await;
    let healthy = TestEndpoint::start(Arc::new(|r| vec![ok_response(r, "done")])).await;
    let entry = start_entry("orders", &[&full, &healthy]).await;
    for _ in 0..12 {
        assert!(call(entry, ORDER).await.ends_with("done"));
        time::sleep(Duration::from_millis(100)).await;
    }
    assert!(full.request_count() <= 1, "{}", full.request_count());
}

/// Failure: all teams have one priority, which replaced that of the routes, so that engines could not tell
/// urgent requests from others. A resumed stream keeps its level.
#[tokio::test(flavor = "multi_thread")]
async fn level_sent_as_priority() {
    let broken = |r: &str| {
        let start = vec![stream_head(r), event(1)];
        match header(r, "last") {
            None => [start, vec![Action::Close]].concat(),
            Some(_) => vec![stream_head(r), event(2), stream_end()],
        }
    };
    let endpoints = [
        TestEndpoint::start(Arc::new(broken)).await,
        TestEndpoint::start(Arc::new(broken)).await,
    ];
    let mut configuration = support::configuration(1);
    configuration.teams.get_mut("key").unwrap().priority = Some(1);
    let later = support::route(fleet::Repeat::Resumable, true, "/later/", "drafts");
    let mut later = Arc::unwrap_or_clone(later);
    later.priority = 5;
    configuration.routes.push(Arc::new(later));
    let expected = [
        (DRAFT.to_owned(), "0"),
        (DRAFT.replace("/draft/", "/later/"), "1"),
    ];
    for (request, level) in expected {
        // An entry does not use an endpoint soon after a break, so that each request gets an entry of its own.
        let configuration = configuration.clone();
        let entry = start_configured(configuration, "drafts", &endpoints.each_ref()).await;
        let response = call(entry, &request).await;
        assert!(response.contains("id: 2"), "{response}");
        let mut sent = Vec::new();
        for endpoint in &endpoints {
            sent.append(&mut endpoint.requests.lock().unwrap());
        }
        let levels: Vec<_> = sent.iter().map(|r| header(r, "priority")).collect();
        assert_eq!(levels, [Some(level); 2]);
    }
}

/// Failure: the events of streams are not measured, so that long passes limit nothing.
#[tokio::test(flavor = "multi_thread")]
async fn passes_measured() {
    let script = |r: &str| {
        let pass = |id| [Action::Wait(Duration::from_millis(60)), event(id)];
        let passes = (1..16).flat_map(pass);
        let (start, end) = ([stream_head(r)], [stream_end()]);
        start.into_iter().chain(passes).chain(end).collect()
    };
    let endpoint = TestEndpoint::start(Arc::new(script)).await;
    let configuration = support::configuration(1);
    let (entry, operators) = start_observed(configuration, "drafts", &[&endpoint]).await;
    let response = call(entry, DRAFT).await;
    assert!(response.contains("id: 15"), "{response}");
    let metrics = call(operators, "GET /metrics HTTP/1.1").await;
    let name = "apricot_direct_pass_error_seconds_count ";
    let line = metrics.lines().find_map(|line| line.strip_prefix(name));
    let count: u32 = line.expect(&metrics).parse().unwrap();
    assert!((1..=15).contains(&count), "{count} of 15 passes");
}
