use std::{
    net::SocketAddr,
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

use anyhow::Context as _;
use bytes::Bytes;
use conf::{Page, Position};
use http::Request;
use http_body_util::Empty;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use payload::Connector;
use serde::Deserialize;
use smol_str::SmolStr;
use tokio::time;

/// Limit on the time that the platform holds a long poll; each answer proves that this watcher works.
const POLL_WAIT: Duration = Duration::from_secs(1);
/// Limit on the time for an answer beyond [`POLL_WAIT`].
const ANSWER_MARGIN: Duration = Duration::from_secs(1);
/// Limit on the size of an answer of the platform, in bytes.
const ANSWER_LIMIT: usize = 64 * 1024 * 1024;

/// HTTP connections to the platform, over which the published log is read; a failed read moves to
/// the next address.
pub(crate) struct Platform {
    connections: Client<Connector, Empty<Bytes>>,
    addresses: Vec<SocketAddr>,
    next: AtomicUsize,
}

#[derive(Deserialize)]
struct Records {
    records: Vec<SmolStr>,
}

impl Platform {
    pub(crate) fn new(addresses: Vec<SocketAddr>) -> Self {
        Self {
            connections: Client::builder(TokioExecutor::new())
                .build(Connector::new(HttpConnector::new())),
            addresses,
            next: AtomicUsize::new(0),
        }
    }

    /// Waits for records after a position and reads them, together with the record before them;
    /// `None` if there are none within [`POLL_WAIT`].
    ///
    /// The record before them shows whether it is still the same log.
    ///
    /// # Errors
    ///
    /// Returns an error that names the address if it does not answer with records; the next read
    /// uses the next address.
    pub(crate) async fn read(&self, after: Position) -> anyhow::Result<Option<Page>> {
        let index = self.next.load(Ordering::Relaxed) % self.addresses.len().max(1);
        let address = self
            .addresses
            .get(index)
            .context("the settings list no address of the platform")?;
        let result = self.read_from(*address, after).await;
        if result.is_err() {
            self.next.fetch_add(1, Ordering::Relaxed);
        }
        result.with_context(|| {
            format!("cannot read the configuration log from the platform at {address}")
        })
    }

    async fn read_from(
        &self,
        address: SocketAddr,
        after: Position,
    ) -> anyhow::Result<Option<Page>> {
        if self.fetch(address, after, POLL_WAIT).await?.is_empty() {
            return Ok(None);
        }
        let after = after.saturating_sub(1);
        let records = self.fetch(address, after, Duration::ZERO).await?;
        Ok(Some(Page {
            after,
            chain: None,
            records,
            snapshot: None,
        }))
    }

    async fn fetch(
        &self,
        address: SocketAddr,
        after: Position,
        wait: Duration,
    ) -> anyhow::Result<Vec<SmolStr>> {
        let wait = wait.as_millis();
        let uri = format!("http://{address}/v1/log?after={after}&wait={wait}");
        let request = Request::get(uri).body(Empty::new())?;
        let read = async {
            let answer = self.connections.request(request).await?;
            anyhow::ensure!(
                answer.status().is_success(),
                "HTTP status {}",
                answer.status()
            );
            let body = payload::meter_response(answer).into_body();
            Ok(payload::collect(body, ANSWER_LIMIT).await?)
        };
        let bytes = time::timeout(POLL_WAIT + ANSWER_MARGIN, read)
            .await
            .context("request timed out")??;
        let answer: Records =
            serde_json::from_slice(&bytes).context("the answer is not a list of records")?;
        Ok(answer.records)
    }
}
