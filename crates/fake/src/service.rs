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

use crate::http::{
    Body, Handler, bind_and_print, parse_query, read_body, respond, respond_json, serve,
};

/// Fake plain service that counts how often it ran each request.
#[derive(Default)]
pub struct Service {
    /// Number of runs by method, path and body.
    counts: Mutex<BTreeMap<String, u64>>,
}

impl Service {
    /// Creates a service with all counts at 0.
    #[must_use]
    pub fn new() -> Arc<Self> {
        Arc::default()
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

    /// Counts a run of the request, waits for the `pause_ms` of the query and responds with the count.
    async fn run_request(&self, request: Request<Incoming>) -> Response<Body> {
        let pause = parse_query(&request, "pause_ms")
            .map(Duration::from_millis)
            .unwrap_or_default();
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        let Ok(bytes) = read_body(request.into_body()).await else {
            return respond(StatusCode::BAD_REQUEST, "cut");
        };
        let body = String::from_utf8_lossy(&bytes).into_owned();
        let name = format!("{method} {path} {body}");
        let count = self.count_run(&name);
        time::sleep(pause).await;
        respond_json(&serde_json::json!({ "ran": name, "count": count }))
    }

    fn count_run(&self, name: &str) -> u64 {
        let Ok(mut counts) = self.counts.lock() else {
            return 0;
        };
        let count = counts.entry(name.to_owned()).or_default();
        *count += 1;
        *count
    }

    fn respond_counts(&self) -> Response<Body> {
        let counts = self
            .counts
            .lock()
            .map(|counts| counts.clone())
            .unwrap_or_default();
        respond_json(&serde_json::json!(counts))
    }
}

impl Handler for Service {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move {
            match request.uri().path() {
                "/health" => respond_json(&serde_json::json!({})),
                "/counts" => self.respond_counts(),
                _ => self.run_request(request).await,
            }
        })
    }
}
