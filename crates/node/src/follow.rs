use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use anyhow::Context as _;
use bytes::Bytes;
use conf::{Fold, Number};
use event::{Kind, Recorder};
use http::Request;
use http_body_util::{BodyExt as _, Empty, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::Deserialize;
use smol_str::SmolStr;
use tokio::{sync::watch, time};

use crate::{Current, Watch};

/// Longest wait of a watch at the platform.
const WAIT: Duration = Duration::from_secs(10);
/// Time that an answer may take beyond the wait.
const GRACE: Duration = Duration::from_secs(2);
/// Pause after a failed read.
const PAUSE: Duration = Duration::from_millis(300);
/// Largest answer of the platform, in bytes.
const ANSWER_LIMIT: usize = 16 * 1024 * 1024;

/// Follows the configuration that the platform publishes.
///
/// Lock order: `state` is never held across an await, and no other lock is taken under it.
#[derive(Clone)]
pub struct Follow {
    state: Arc<Mutex<State>>,
    current: Arc<watch::Sender<Current>>,
    recorder: Recorder,
}

#[derive(Default)]
struct State {
    fold: Fold,
    records: Vec<(Number, SmolStr)>,
}

#[derive(Deserialize)]
struct Page {
    records: Vec<SmolStr>,
}

impl Follow {
    /// Creates a follower that knows nothing yet.
    #[must_use]
    pub fn new(recorder: Recorder) -> Self {
        let current = Arc::new(watch::Sender::new(Current::default()));
        Self {
            state: Arc::default(),
            current,
            recorder,
        }
    }

    /// Returns a receiver of each change.
    #[must_use]
    pub fn watch(&self) -> Watch {
        self.current.subscribe()
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn current(&self) -> Current {
        self.current.borrow().clone()
    }

    /// Returns the accepted records after a version, oldest first.
    #[must_use]
    pub fn records(&self, after: Number) -> Vec<SmolStr> {
        let Ok(state) = self.state.lock() else {
            return Vec::new();
        };
        state
            .records
            .iter()
            .filter(|(number, _)| *number > after)
            .map(|(_, text)| text.clone())
            .collect()
    }

    /// Takes in published records, from the platform or from a peer.
    pub fn take(&self, records: &[SmolStr]) {
        for text in records {
            self.take_one(text);
        }
    }

    fn take_one(&self, text: &SmolStr) {
        let Ok(mut state) = self.state.lock() else {
            return;
        };
        if let Err(reason) = state.fold.apply(text) {
            log::debug!("a record of the configuration was not taken: {reason}");
            return;
        }
        let current = Current::from(&state.fold);
        let number = current.version.number;
        state.records = vec![(number, text.clone())];
        self.current.send_replace(current);
        self.recorder.record(None, Kind::Version { number });
        log::info!("configuration version {number} is in force");
    }

    /// Reads and watches the platform for ever, one address after the other.
    pub async fn run(self, platform: Vec<SocketAddr>) {
        let client = Client::builder(TokioExecutor::new()).build_http();
        for address in platform.iter().cycle() {
            while let Err(e) = self.read(&client, *address).await {
                log::warn!("the platform at {address} gave no configuration: {e:#}");
                time::sleep(PAUSE).await;
                if platform.len() > 1 {
                    break;
                }
            }
        }
    }

    async fn read(
        &self,
        client: &Client<HttpConnector, Empty<Bytes>>,
        address: SocketAddr,
    ) -> anyhow::Result<()> {
        let after = self.current.borrow().version.number;
        let uri = format!(
            "http://{address}/v1/log?after={after}&wait={}",
            WAIT.as_millis()
        );
        let request = Request::get(uri).body(Empty::new())?;
        let read = async {
            let answer = client.request(request).await?;
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
        let page: Page =
            serde_json::from_slice(&bytes).context("the answer is not a page of records")?;
        self.take(&page.records);
        Ok(())
    }
}
