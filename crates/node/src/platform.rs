use std::{
    net::SocketAddr,
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

use anyhow::Context as _;
use bytes::Bytes;
use conf::{Page, Position};
use http::Request;
use http_body_util::{BodyExt as _, Empty, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::Deserialize;
use smol_str::SmolStr;
use tokio::time;

/// Longest wait of a watch at the platform; each answer is a sign of life of the watcher.
const WAIT: Duration = Duration::from_secs(1);
/// Time that an answer may take beyond the wait.
const GRACE: Duration = Duration::from_secs(1);
/// Largest answer of the platform, in bytes.
const ANSWER_LIMIT: usize = 64 * 1024 * 1024;

/// Reads the published log at the platform, one address after the other as they fail.
pub(crate) struct Platform {
    client: Client<HttpConnector, Empty<Bytes>>,
    addresses: Vec<SocketAddr>,
    next: AtomicUsize,
}

#[derive(Deserialize)]
struct Answer {
    records: Vec<SmolStr>,
}

impl Platform {
    /// Creates a reader.
    pub(crate) fn new(addresses: Vec<SocketAddr>) -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
            addresses,
            next: AtomicUsize::new(0),
        }
    }

    /// Waits for records after a place and reads them, together with the one before.
    ///
    /// The one before lets the caller see whether it is still the same log.
    ///
    /// # Errors
    ///
    /// Returns an error that names the address if it does not answer; the next read asks another.
    pub(crate) async fn read(&self, after: Position) -> anyhow::Result<Option<Page>> {
        let index = self.next.load(Ordering::Relaxed) % self.addresses.len().max(1);
        let address = self.addresses.get(index).context("no platform is set")?;
        let result = self.read_from(*address, after).await;
        if result.is_err() {
            self.next.fetch_add(1, Ordering::Relaxed);
        }
        result.with_context(|| format!("the platform at {address} gave no configuration"))
    }

    async fn read_from(
        &self,
        address: SocketAddr,
        after: Position,
    ) -> anyhow::Result<Option<Page>> {
        if self.ask(address, after, WAIT).await?.is_empty() {
            return Ok(None);
        }
        let after = after.saturating_sub(1);
        let records = self.ask(address, after, Duration::ZERO).await?;
        Ok(Some(Page {
            after,
            chain: None,
            records,
            snapshot: None,
        }))
    }

    async fn ask(
        &self,
        address: SocketAddr,
        after: Position,
        wait: Duration,
    ) -> anyhow::Result<Vec<SmolStr>> {
        let wait = wait.as_millis();
        let uri = format!("http://{address}/v1/log?after={after}&wait={wait}");
        let request = Request::get(uri).body(Empty::new())?;
        let read = async {
            let answer = self.client.request(request).await?;
            anyhow::ensure!(answer.status().is_success(), "status {}", answer.status());
            let body = Limited::new(answer.into_body(), ANSWER_LIMIT)
                .collect()
                .await
                .map_err(anyhow::Error::from_boxed)?;
            Ok(body.to_bytes())
        };
        let bytes = time::timeout(WAIT + GRACE, read)
            .await
            .context("no answer in time")??;
        let answer: Answer =
            serde_json::from_slice(&bytes).context("the answer is not a list of records")?;
        Ok(answer.records)
    }
}
