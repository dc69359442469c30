use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use anyhow::Context as _;
use conf::{Document, MAX_VALUE_BYTES, split};
use futures::future::BoxFuture;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::{
    sync::watch,
    time::{self, Instant},
};

use crate::{
    client,
    http::{Body, Handler, bind_and_print, parse_query, read_body, respond, respond_json, serve},
};

/// Largest number of reads, over all readers, that the platform serves in a second; it rejects the
/// others.
const MAX_READS_PER_SECOND: u32 = 2000;

/// Condition of the platform.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// Reads return all published records.
    #[default]
    Up,
    /// Reads fail with status 503; the platform still accepts records.
    Down,
    /// Reads return only records that were published before this mode was set.
    Stale,
}

/// Fake platform: a log of configuration records with long polling.
pub struct Platform {
    log: watch::Sender<Vec<String>>,
    /// Mode and the length of the log when it was set.
    mode: Mutex<(Mode, usize)>,
    /// Start of the current one-second window and the reads in it.
    window: Mutex<(Instant, u32)>,
    /// Reads since the start, with those above the rate limit and without those in [`Mode::Down`].
    reads: Mutex<u64>,
}

impl Platform {
    /// Creates a platform with an empty log.
    #[must_use]
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            log: watch::Sender::new(Vec::new()),
            mode: Mutex::default(),
            window: Mutex::new((Instant::now(), 0)),
            reads: Mutex::default(),
        })
    }

    /// Serves requests on an address; prints the bound address first.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn run(self: Arc<Self>, address: SocketAddr) -> anyhow::Result<()> {
        serve(bind_and_print(address).await?, self).await;
        Ok(())
    }

    /// Counts a read; returns whether it is within the rate limit.
    fn admit_read(&self) -> bool {
        if let Ok(mut reads) = self.reads.lock() {
            *reads += 1;
        }
        let Ok(mut window) = self.window.lock() else {
            return false;
        };
        if window.0.elapsed() >= Duration::from_secs(1) {
            *window = (Instant::now(), 0);
        }
        window.1 += 1;
        window.1 <= MAX_READS_PER_SECOND
    }

    fn mode(&self) -> (Mode, usize) {
        self.mode.lock().map(|mode| *mode).unwrap_or_default()
    }

    /// Returns the records after position `after` that the mode lets readers see.
    fn visible_records(&self, after: usize) -> Vec<String> {
        let log = self.log.borrow();
        let end = if self.mode().0 == Mode::Stale {
            self.mode().1.min(log.len())
        } else {
            log.len()
        };
        log.get(after.min(end)..end).unwrap_or_default().to_vec()
    }

    async fn read_log(&self, request: &Request<Incoming>) -> Response<Body> {
        if self.mode().0 == Mode::Down || !self.admit_read() {
            return respond(StatusCode::SERVICE_UNAVAILABLE, "");
        }
        let after = parse_query(request, "after").unwrap_or(0);
        let wait = parse_query(request, "wait")
            .map(Duration::from_millis)
            .unwrap_or_default();
        let mut changes = self.log.subscribe();
        let deadline = Instant::now() + wait;
        let mut records = self.visible_records(after);
        while records.is_empty() && time::timeout_at(deadline, changes.changed()).await.is_ok() {
            records = self.visible_records(after);
        }
        respond_json(&serde_json::json!({ "records": records }))
    }

    async fn publish(&self, request: Request<Incoming>) -> Response<Body> {
        let bytes = read_body(request.into_body()).await.unwrap_or_default();
        if bytes.len() > MAX_VALUE_BYTES {
            return respond(StatusCode::PAYLOAD_TOO_LARGE, "");
        }
        let record = String::from_utf8_lossy(&bytes).into_owned();
        self.log.send_modify(|log| log.push(record));
        respond(StatusCode::OK, "")
    }

    /// Truncates the log to its first records, as a restore from an old backup does.
    async fn truncate(&self, request: Request<Incoming>) -> Response<Body> {
        let bytes = read_body(request.into_body()).await.unwrap_or_default();
        let Ok(length) = serde_json::from_slice(&bytes) else {
            return respond(StatusCode::BAD_REQUEST, "");
        };
        self.log.send_modify(|log| log.truncate(length));
        respond(StatusCode::OK, "")
    }

    async fn set_mode(&self, request: Request<Incoming>) -> Response<Body> {
        let bytes = read_body(request.into_body()).await.unwrap_or_default();
        let Ok(mode) = serde_json::from_slice(&bytes) else {
            return respond(StatusCode::BAD_REQUEST, "");
        };
        if let Ok(mut current) = self.mode.lock() {
            *current = (mode, self.log.borrow().len());
        }
        respond(StatusCode::OK, "")
    }

    fn stats(&self) -> Response<Body> {
        let reads = self.reads.lock().map(|reads| *reads).unwrap_or_default();
        respond_json(&serde_json::json!({ "reads": reads, "records": self.log.borrow().len() }))
    }
}

impl Handler for Platform {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move {
            match (request.method(), request.uri().path()) {
                (&Method::GET, "/v1/log") => self.read_log(&request).await,
                (&Method::POST, "/publish") => self.publish(request).await,
                (&Method::POST, "/restore") => self.truncate(request).await,
                (&Method::POST, "/mode") => self.set_mode(request).await,
                (&Method::GET, "/stats") => self.stats(),
                _ => respond(StatusCode::NOT_FOUND, ""),
            }
        })
    }
}

/// Publishes a document as record `number`, as operators do with their own tools; a long record is
/// split into several values.
///
/// # Errors
///
/// Returns an error if the platform cannot be reached or rejects a value.
pub async fn publish(platform: SocketAddr, number: u64, document: &Document) -> anyhow::Result<()> {
    let record = serde_json::json!({ "number": number, "document": document });
    for value in split(&record.to_string()) {
        publish_value(platform, value).await?;
    }
    Ok(())
}

/// Appends a value, which need not be a valid record, to the log.
///
/// # Errors
///
/// Returns an error if the platform cannot be reached or rejects a value.
pub async fn publish_value(platform: SocketAddr, value: String) -> anyhow::Result<()> {
    let response = client::post(platform, "/publish", value)
        .await
        .context("cannot reach the platform")?;
    anyhow::ensure!(
        response.status == StatusCode::OK,
        "platform rejected the value with status {}",
        response.status
    );
    Ok(())
}
