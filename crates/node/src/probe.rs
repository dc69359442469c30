//! Answers to the balancer in front and to operators.

use std::{convert::Infallible, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use prometheus::{Registry, TextEncoder};
use tokio::{net::TcpListener, time};

/// Time in which a question must arrive, and for which a connection may stay idle.
const PATIENCE: Duration = Duration::from_secs(10);
/// Pause after a connection could not be accepted.
const PAUSE: Duration = Duration::from_millis(100);

/// Answers a question by its path.
pub type Reply = Arc<dyn Fn(&str) -> Response<Full<Bytes>> + Send + Sync>;

/// Answers whether the process takes new callers.
#[must_use]
pub fn readiness(is_ready: impl Fn() -> bool + Send + Sync + 'static) -> Reply {
    Arc::new(move |_| {
        let status = if is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        reply(status, Bytes::new())
    })
}

/// Answers with the metrics of a registry.
#[must_use]
pub fn metrics(registry: Registry) -> Reply {
    Arc::new(move |path| {
        if path != "/metrics" {
            return reply(StatusCode::NOT_FOUND, Bytes::new());
        }
        match TextEncoder::new().encode_to_string(&registry.gather()) {
            Ok(text) => reply(StatusCode::OK, text.into()),
            Err(e) => {
                log::warn!(reason:% = e; "metrics cannot be encoded");
                reply(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
            }
        }
    })
}

fn reply(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}

/// Answers questions for good.
pub async fn serve(listener: TcpListener, reply: Reply) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                log::warn!(reason:% = e; "a question could not be accepted");
                time::sleep(PAUSE).await;
                continue;
            }
        };
        let reply = reply.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let response = reply(request.uri().path());
            async move { Ok::<_, Infallible>(response) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(PATIENCE)
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move {
            if let Err(e) = connection.await {
                log::debug!("a question's connection ended: {e}");
            }
        });
    }
}
