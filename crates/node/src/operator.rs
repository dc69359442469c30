use std::{convert::Infallible, sync::Arc, time::Duration};

use bytes::Bytes;
use event::Recorder;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::conn::auto,
};
use prometheus::{Encoder as _, Registry, TextEncoder};
use quota::{Connections, Stream};
use serde::Serialize;
use smol_str::SmolStr;
use tokio::net::TcpListener;

use crate::{Follower, Shutdown};

/// Limit on the time for receiving the headers of a request, and on the idle time of a connection.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest number of connections of operators.
const MAX_CONNECTIONS: usize = 32;

/// State of a process, as `/status` returns it in JSON.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// Name of the process.
    pub process: SmolStr,
    /// Version of the executable.
    pub program: &'static str,
    /// Number of the configuration version in force, 0 before any.
    pub version: u64,
    /// Hash of the published log up to that version, in hexadecimal.
    pub chain: conf::Digest,
    /// Position in the published log that has been applied.
    pub position: u64,
    /// Number of received logs that differ from the local one or cannot be read.
    pub alarms: u64,
    /// Whether the process is shutting down.
    pub leaving: bool,
    /// Role-specific part.
    pub parts: serde_json::Value,
}

/// Source of the role-specific part of a [`Status`].
pub type Parts = Arc<dyn Fn() -> serde_json::Value + Send + Sync>;

/// HTTP server for operators: health checks, metrics, status, verdicts and events.
#[derive(Clone)]
pub struct Admin {
    process: SmolStr,
    follower: Follower,
    recorder: Recorder,
    registry: Registry,
    shutdown: Shutdown,
    parts: Parts,
}

impl Admin {
    /// Creates the server of a process.
    #[must_use]
    pub fn new(
        process: SmolStr,
        follower: Follower,
        recorder: Recorder,
        registry: Registry,
        shutdown: Shutdown,
        parts: Parts,
    ) -> Self {
        Self {
            process,
            follower,
            recorder,
            registry,
            shutdown,
            parts,
        }
    }

    /// Accepts connections; never returns.
    pub async fn run(self, listener: TcpListener) {
        let connections = Connections::new(MAX_CONNECTIONS);
        loop {
            let (stream, slot) = connections.accept(&listener).await;
            let admin = self.clone();
            tokio::spawn(async move {
                let service = service_fn(|request| {
                    let response = admin.respond(&request);
                    async { Ok::<_, Infallible>(response) }
                });
                let mut server = auto::Builder::new(TokioExecutor::new());
                server
                    .http1()
                    .timer(TokioTimer::new())
                    .header_read_timeout(HEADER_TIMEOUT);
                server
                    .http2()
                    .timer(TokioTimer::new())
                    .keep_alive_interval(HEADER_TIMEOUT);
                let io = TokioIo::new(Stream::new(stream, slot.clone(), HEADER_TIMEOUT));
                tokio::select! {
                    served = server.serve_connection(io, service) => if let Err(e) = served {
                        log::debug!("connection from an operator failed: {e}");
                    },
                    () = slot.revoked() => {}
                }
            });
        }
    }

    fn respond(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        if request.method() != Method::GET {
            return text(StatusCode::METHOD_NOT_ALLOWED, "only GET is allowed\n");
        }
        match request.uri().path() {
            "/live" => text(StatusCode::OK, "live\n"),
            "/ready" => self.ready(),
            "/metrics" => self.metrics(),
            "/status" => json(&self.status()),
            "/verdicts" => json(&self.follower.verdicts()),
            "/events" => json(&self.recorder.read(first_event(request.uri().query()))),
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
        if self.follower.current().document.is_none() {
            let reason = format!("{}\n", self.follower.missing_reason());
            return text(StatusCode::SERVICE_UNAVAILABLE, &reason);
        }
        text(StatusCode::OK, "ready\n")
    }

    fn metrics(&self) -> Response<Full<Bytes>> {
        let mut bytes = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut bytes) {
            Ok(()) => response(StatusCode::OK, "text/plain; version=0.0.4", bytes.into()),
            Err(e) => text(StatusCode::INTERNAL_SERVER_ERROR, &format!("{e}\n")),
        }
    }

    fn status(&self) -> Status {
        let current = self.follower.current();
        Status {
            process: self.process.clone(),
            program: env!("CARGO_PKG_VERSION"),
            version: current.version.number,
            chain: current.version.chain,
            position: self.follower.position(),
            alarms: self.follower.alarms(),
            leaving: self.shutdown.is_draining(),
            parts: (self.parts)(),
        }
    }
}

/// Parses the sequence number of the first event from the query; defaults to 0.
fn first_event(query: Option<&str>) -> u64 {
    let pairs = query.unwrap_or_default().split('&');
    pairs
        .filter_map(|pair| pair.strip_prefix("from="))
        .find_map(|value| value.parse().ok())
        .unwrap_or(0)
}

fn json<T: Serialize>(value: &T) -> Response<Full<Bytes>> {
    match serde_json::to_vec(value) {
        Ok(bytes) => response(StatusCode::OK, "application/json", bytes.into()),
        Err(e) => text(StatusCode::INTERNAL_SERVER_ERROR, &format!("{e}\n")),
    }
}

fn text(status: StatusCode, body: &str) -> Response<Full<Bytes>> {
    response(
        status,
        "text/plain; charset=utf-8",
        Bytes::copy_from_slice(body.as_bytes()),
    )
}

fn response(status: StatusCode, content_type: &'static str, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static(content_type),
    );
    response
}
