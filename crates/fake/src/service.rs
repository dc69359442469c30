use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use futures::future::BoxFuture;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use tokio::time;

use crate::http::{Body, Handler, bind, full, json, query, read, serve};

/// Stand-in for a plain service: counts how often it ran each body.
#[derive(Default)]
pub struct Service {
    counts: Mutex<BTreeMap<String, u64>>,
}

impl Service {
    /// Creates a service that has run nothing.
    #[must_use]
    pub fn new() -> Arc<Self> {
        Arc::default()
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

    /// Runs a body once more and returns how often it was run, then waits `pause_ms` of the query.
    async fn execute(&self, request: Request<Incoming>) -> Response<Body> {
        let pause = query(&request, "pause_ms")
            .map(Duration::from_millis)
            .unwrap_or_default();
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        let Ok(bytes) = read(request.into_body()).await else {
            return full(StatusCode::BAD_REQUEST, "cut");
        };
        let body = String::from_utf8_lossy(&bytes).into_owned();
        let name = format!("{method} {path} {body}");
        let count = self.count(&name);
        time::sleep(pause).await;
        json(&serde_json::json!({ "ran": name, "count": count }))
    }

    fn count(&self, name: &str) -> u64 {
        let Ok(mut counts) = self.counts.lock() else {
            return 0;
        };
        let count = counts.entry(name.to_owned()).or_default();
        *count += 1;
        *count
    }

    fn counts(&self) -> Response<Body> {
        let counts = self.counts.lock().map(|c| c.clone()).unwrap_or_default();
        json(&serde_json::json!(counts))
    }
}

impl Handler for Service {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move {
            match request.uri().path() {
                "/health" => json(&serde_json::json!({})),
                "/counts" => self.counts(),
                _ => self.execute(request).await,
            }
        })
    }
}
