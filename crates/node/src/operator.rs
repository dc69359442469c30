use std::{convert::Infallible, sync::Arc};

use bytes::Bytes;
use event::Recorder;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo},
    server::conn::auto,
};
use prometheus::{Encoder as _, Registry, TextEncoder};
use serde::Serialize;
use smol_str::SmolStr;
use tokio::net::TcpListener;

use crate::{Follower, Shutdown};

/// State of a process, for operators.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// Name of the process.
    pub process: SmolStr,
    /// Version of the program.
    pub program: &'static str,
    /// Number of the configuration version in force, 0 before any.
    pub version: u64,
    /// Hash of the configuration's history, as hex.
    pub chain: conf::Digest,
    /// Place in the published log that was reached.
    pub position: u64,
    /// Offers of another log than the own.
    pub alarms: u64,
    /// Whether the process shuts down.
    pub leaving: bool,
    /// Parts that the role adds.
    pub parts: serde_json::Value,
}

/// Gives the parts of a status that a role adds.
pub type Parts = Arc<dyn Fn() -> serde_json::Value + Send + Sync>;

/// Answers operators: health, metrics, status and events.
#[derive(Clone)]
pub struct Admin {
    process: SmolStr,
    follow: Follower,
    recorder: Recorder,
    registry: Registry,
    shutdown: Shutdown,
    parts: Parts,
}

impl Admin {
    /// Creates the answers of a process.
    #[must_use]
    pub fn new(
        process: SmolStr,
        follow: Follower,
        recorder: Recorder,
        registry: Registry,
        shutdown: Shutdown,
        parts: Parts,
    ) -> Self {
        Self {
            process,
            follow,
            recorder,
            registry,
            shutdown,
            parts,
        }
    }

    /// Serves operators until the process ends.
    pub async fn run(self, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            let operator = self.clone();
            tokio::spawn(async move {
                let service = service_fn(|request| {
                    let answer = operator.answer(&request);
                    async { Ok::<_, Infallible>(answer) }
                });
                let server = auto::Builder::new(TokioExecutor::new());
                if let Err(e) = server.serve_connection(TokioIo::new(stream), service).await {
                    log::debug!("an operator's connection ended: {e}");
                }
            });
        }
    }

    fn answer(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        if request.method() != Method::GET {
            return text(StatusCode::METHOD_NOT_ALLOWED, "only GET is allowed\n");
        }
        match request.uri().path() {
            "/live" => text(StatusCode::OK, "live\n"),
            "/ready" => self.ready(),
            "/metrics" => self.metrics(),
            "/status" => json(&self.status()),
            "/verdicts" => json(&self.follow.verdicts()),
            "/events" => json(&self.recorder.read(from(request.uri().query()))),
            _ => text(
                StatusCode::NOT_FOUND,
                "try /live, /ready, /metrics, /status, /verdicts or /events\n",
            ),
        }
    }

    fn ready(&self) -> Response<Full<Bytes>> {
        if self.shutdown.is_draining() {
            return text(StatusCode::SERVICE_UNAVAILABLE, "shutting down\n");
        }
        if self.follow.current().document.is_none() {
            let lack = format!("{}\n", self.follow.lack());
            return text(StatusCode::SERVICE_UNAVAILABLE, &lack);
        }
        text(StatusCode::OK, "ready\n")
    }

    fn metrics(&self) -> Response<Full<Bytes>> {
        let mut bytes = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut bytes) {
            Ok(()) => typed(StatusCode::OK, "text/plain; version=0.0.4", bytes.into()),
            Err(e) => text(StatusCode::INTERNAL_SERVER_ERROR, &format!("{e}\n")),
        }
    }

    fn status(&self) -> Status {
        let current = self.follow.current();
        Status {
            process: self.process.clone(),
            program: env!("CARGO_PKG_VERSION"),
            version: current.version.number,
            chain: current.version.chain,
            position: self.follow.position(),
            alarms: self.follow.alarms(),
            leaving: self.shutdown.is_draining(),
            parts: (self.parts)(),
        }
    }
}

fn from(query: Option<&str>) -> u64 {
    let pairs = query.unwrap_or_default().split('&');
    pairs
        .filter_map(|pair| pair.strip_prefix("from="))
        .find_map(|value| value.parse().ok())
        .unwrap_or(0)
}

fn json<T: Serialize>(value: &T) -> Response<Full<Bytes>> {
    match serde_json::to_vec(value) {
        Ok(bytes) => typed(StatusCode::OK, "application/json", bytes.into()),
        Err(e) => text(StatusCode::INTERNAL_SERVER_ERROR, &format!("{e}\n")),
    }
}

fn text(status: StatusCode, body: &str) -> Response<Full<Bytes>> {
    typed(
        status,
        "text/plain; charset=utf-8",
        Bytes::copy_from_slice(body.as_bytes()),
    )
}

fn typed(status: StatusCode, kind: &'static str, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, header::HeaderValue::from_static(kind));
    response
}
