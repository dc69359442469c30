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
    http::{Body, Handler, bind, full, json, query, read, serve},
};

/// Reads a second that the platform answers, over all readers.
const RATE: u32 = 2000;

/// How the platform behaves.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// It answers with all that was published.
    #[default]
    Up,
    /// It answers each request with an error.
    Down,
    /// It goes on with what was published until now, and hides what follows.
    Stale,
}

/// Stand-in for the platform: a log of records that is read and watched.
pub struct Platform {
    log: watch::Sender<Vec<String>>,
    mode: Mutex<(Mode, usize)>,
    window: Mutex<(Instant, u32)>,
    reads: Mutex<u64>,
}

impl Platform {
    /// Creates a platform on which nothing is published.
    #[must_use]
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            log: watch::Sender::new(Vec::new()),
            mode: Mutex::default(),
            window: Mutex::new((Instant::now(), 0)),
            reads: Mutex::default(),
        })
    }

    /// Serves on an address and prints it.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn run(self: Arc<Self>, address: SocketAddr) -> anyhow::Result<()> {
        serve(bind(address).await?, self).await;
        Ok(())
    }

    /// Counts a read; returns whether it is within the rate.
    fn admit(&self) -> bool {
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
        window.1 <= RATE
    }

    fn mode(&self) -> (Mode, usize) {
        self.mode.lock().map(|m| *m).unwrap_or_default()
    }

    fn visible(&self, after: usize) -> Vec<String> {
        let log = self.log.borrow();
        let end = if self.mode().0 == Mode::Stale {
            self.mode().1.min(log.len())
        } else {
            log.len()
        };
        log.get(after.min(end)..end).unwrap_or_default().to_vec()
    }

    async fn read_log(&self, request: &Request<Incoming>) -> Response<Body> {
        if self.mode().0 == Mode::Down || !self.admit() {
            return full(StatusCode::SERVICE_UNAVAILABLE, "");
        }
        let after = query(request, "after").unwrap_or(0);
        let wait = query(request, "wait")
            .map(Duration::from_millis)
            .unwrap_or_default();
        let mut watch = self.log.subscribe();
        let end = Instant::now() + wait;
        let mut records = self.visible(after);
        while records.is_empty() && time::timeout_at(end, watch.changed()).await.is_ok() {
            records = self.visible(after);
        }
        json(&serde_json::json!({ "records": records }))
    }

    async fn publish(&self, request: Request<Incoming>) -> Response<Body> {
        let bytes = read(request.into_body()).await.unwrap_or_default();
        if bytes.len() > MAX_VALUE_BYTES {
            return full(StatusCode::PAYLOAD_TOO_LARGE, "");
        }
        let record = String::from_utf8_lossy(&bytes).into_owned();
        self.log.send_modify(|log| log.push(record));
        full(StatusCode::OK, "")
    }

    /// Comes back with only the first records, as after a restart with old data.
    async fn restore(&self, request: Request<Incoming>) -> Response<Body> {
        let bytes = read(request.into_body()).await.unwrap_or_default();
        let Ok(keep) = serde_json::from_slice(&bytes) else {
            return full(StatusCode::BAD_REQUEST, "");
        };
        self.log.send_modify(|log| log.truncate(keep));
        full(StatusCode::OK, "")
    }

    async fn set_mode(&self, request: Request<Incoming>) -> Response<Body> {
        let bytes = read(request.into_body()).await.unwrap_or_default();
        let Ok(mode) = serde_json::from_slice(&bytes) else {
            return full(StatusCode::BAD_REQUEST, "");
        };
        if let Ok(mut own) = self.mode.lock() {
            *own = (mode, self.log.borrow().len());
        }
        full(StatusCode::OK, "")
    }

    fn stats(&self) -> Response<Body> {
        let reads = self.reads.lock().map(|r| *r).unwrap_or_default();
        json(&serde_json::json!({ "reads": reads, "records": self.log.borrow().len() }))
    }
}

impl Handler for Platform {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move {
            match (request.method(), request.uri().path()) {
                (&Method::GET, "/v1/log") => self.read_log(&request).await,
                (&Method::POST, "/publish") => self.publish(request).await,
                (&Method::POST, "/restore") => self.restore(request).await,
                (&Method::POST, "/mode") => self.set_mode(request).await,
                (&Method::GET, "/stats") => self.stats(),
                _ => full(StatusCode::NOT_FOUND, ""),
            }
        })
    }
}

/// Publishes a whole document as a record, the way operators do by their own means.
///
/// # Errors
///
/// Returns an error if the platform does not take it.
pub async fn publish(platform: SocketAddr, number: u64, document: &Document) -> anyhow::Result<()> {
    let record = serde_json::json!({ "number": number, "document": document });
    for value in split(&record.to_string()) {
        publish_value(platform, value).await?;
    }
    Ok(())
}

/// Publishes a value as it is.
///
/// # Errors
///
/// Returns an error if the platform does not take it.
pub async fn publish_value(platform: SocketAddr, value: String) -> anyhow::Result<()> {
    let answer = client::post(platform, "/publish", value)
        .await
        .context("the platform cannot be reached")?;
    anyhow::ensure!(
        answer.status == StatusCode::OK,
        "the platform answered {}",
        answer.status
    );
    Ok(())
}
