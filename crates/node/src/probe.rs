//! HTTP servers for the health checks of a load balancer and for the metrics that operators read.

use std::{convert::Infallible, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use prometheus::{Registry, TextEncoder};
use quota::{Connections, Stream};
use tokio::net::TcpListener;

/// Limit on the time for receiving the headers of a request, and on the idle time of a connection.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest number of connections to one server.
const MAX_CONNECTIONS: usize = 32;

/// Function that answers a request by its path.
pub type Responder = Arc<dyn Fn(&str) -> Response<Full<Bytes>> + Send + Sync>;

/// Returns a responder with an empty body and status 200 if the process is ready, 503 otherwise.
#[must_use]
pub fn readiness(is_ready: impl Fn() -> bool + Send + Sync + 'static) -> Responder {
    Arc::new(move |_| {
        let status = if is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        response(status, Bytes::new())
    })
}

/// Returns a responder that serves the metrics of a registry at `/metrics`, and 404 elsewhere.
#[must_use]
pub fn metrics(registry: Registry) -> Responder {
    Arc::new(move |path| {
        if path != "/metrics" {
            return response(StatusCode::NOT_FOUND, Bytes::new());
        }
        match TextEncoder::new().encode_to_string(&registry.gather()) {
            Ok(text) => response(StatusCode::OK, text.into()),
            Err(e) => {
                log::warn!(reason:% = e; "metrics cannot be encoded");
                response(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
            }
        }
    })
}

fn response(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}

/// Serves HTTP/1 requests; never returns.
pub async fn serve(listener: TcpListener, responder: Responder) {
    let connections = Connections::new(MAX_CONNECTIONS);
    loop {
        let (stream, slot) = connections.accept(&listener).await;
        let responder = responder.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let response = responder(request.uri().path());
            async move { Ok::<_, Infallible>(response) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEADER_TIMEOUT)
            .serve_connection(
                TokioIo::new(Stream::new(stream, slot.clone(), HEADER_TIMEOUT)),
                service,
            );
        tokio::spawn(async move {
            tokio::select! {
                served = connection => if let Err(e) = served {
                    log::debug!("connection failed: {e}");
                },
                () = slot.revoked() => {}
            }
        });
    }
}
