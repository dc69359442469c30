use std::{io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use fault::{ErrorKind, Fault};
use http::{HeaderName, HeaderValue, Request, Response, header};
use http_body_util::{BodyExt as _, Empty, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::{Frame, Incoming};
use hyper_util::{
    client::legacy::{self, Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use payload::{Connector, Metered};
use serde::Deserialize;
use smol_str::format_smolstr;
use tokio::{sync::mpsc, time};
use wire::Offer;

/// Name of the header that carries the id of an attempt, in a request to the engine and optionally
/// in its answer.
pub(crate) const ATTEMPT_HEADER: &str = "x-attempt-id";
/// Time in which the engine must accept a connection, and for each of the head and the body of its
/// answer to a health check.
const CHECK_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which clients may retry if the engine can't be reached.
const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time after which an idle connection is no longer reused, as the engine may have closed it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest body of an answer to a health check, in bytes.
const MAX_HEALTH_BYTES: usize = 4096;

type Body = UnsyncBoxBody<Bytes, io::Error>;

/// HTTP connections to the engine or service that the agent runs next to.
#[derive(Clone)]
pub(crate) struct Engine {
    address: SocketAddr,
    /// Reuses idle connections; opens another one if nothing of a request was sent before one of them closed.
    pooled: Client<Connector, Body>,
    /// Opens a connection for each request.
    unpooled: Client<Connector, Body>,
}

/// State that an engine reports in answer to a health check; a service may omit each field.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Health {
    /// Number that changes at each start of the engine.
    pub(crate) boot: Option<u64>,
    /// Number of requests in the engine's batch.
    pub(crate) running: u32,
    /// Number of requests in the engine's queue.
    pub(crate) queued: u32,
}

impl Engine {
    /// Prepares connections to the engine at an address; each is opened when a request needs it.
    pub(crate) fn new(address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CHECK_TIMEOUT));
        let connector = Connector::new(connector);
        let mut builder = Client::builder(TokioExecutor::new());
        builder
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT);
        Self {
            address,
            pooled: builder.build(connector.clone()),
            unpooled: builder.pool_max_idle_per_host(0).build(connector),
        }
    }

    /// Returns the connections that an attempt may use.
    ///
    /// An attempt with an idempotency key gets a new connection: if a reused one broke, there would
    /// be no way to tell whether the endpoint had read the request.
    fn connections(&self, offer: &Offer) -> &Client<Connector, Body> {
        if offer.key.is_some() {
            &self.unpooled
        } else {
            &self.pooled
        }
    }

    /// Checks the health of the engine and returns the state that it reports.
    pub(crate) async fn health(&self) -> anyhow::Result<Health> {
        let body = Empty::new().map_err(|never| match never {}).boxed_unsync();
        let request = Request::get(format!("http://{}/health", self.address)).body(body)?;
        let response = time::timeout(CHECK_TIMEOUT, self.pooled.request(request)).await??;
        let response = payload::meter_response(response);
        anyhow::ensure!(
            response.status().is_success(),
            "status {}",
            response.status()
        );
        let body = payload::collect(response.into_body(), MAX_HEALTH_BYTES);
        let bytes = time::timeout(CHECK_TIMEOUT, body).await??;
        Ok(serde_json::from_slice(&bytes).unwrap_or_default())
    }

    /// Sends an attempt, with the request body from a channel, and returns the engine's response.
    ///
    /// # Errors
    ///
    /// Returns a fault with `run: unknown` once bytes may have been sent, as then only the engine
    /// knows whether it ran the request.
    pub(crate) async fn send(
        &self,
        offer: &Offer,
        body: mpsc::Receiver<io::Result<Bytes>>,
    ) -> Result<Response<Metered<Incoming>>, Fault> {
        let request = self
            .request(offer, body)
            .ok_or(Fault::new(ErrorKind::Malformed))?;
        let connections = self.connections(offer);
        let response = connections.request(request).await.map_err(|e| {
            log::info!(
                "request {}: no response from the engine: {e}",
                offer.request
            );
            if e.is_connect() || is_unsent(&e) {
                return Fault::new(ErrorKind::NoEndpoint).retry_after(UNREACHABLE_RETRY_AFTER);
            }
            if is_body_error(&e) {
                return Fault::new(ErrorKind::Malformed).run_unknown();
            }
            Fault::new(ErrorKind::Interrupted)
        })?;
        let response = payload::meter_response(response);
        validate(offer, &response)?;
        Ok(response)
    }

    fn request(
        &self,
        offer: &Offer,
        body: mpsc::Receiver<io::Result<Bytes>>,
    ) -> Option<Request<Body>> {
        let uri = format!("http://{}{}", self.address, offer.path);
        let mut builder = Request::builder().method(offer.method.as_str()).uri(uri);
        for header in &offer.headers {
            let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
            builder = builder.header(name, HeaderValue::from_bytes(&header.value).ok()?);
        }
        let id = attempt_id(offer);
        builder
            .header(ATTEMPT_HEADER, id.as_str())
            .body(channel_body(body))
            .ok()
    }
}

/// Checks that a response belongs to the attempt, has a status of HTTP, and that its truncation could be detected.
fn validate<T: hyper::body::Body>(offer: &Offer, response: &Response<T>) -> Result<(), Fault> {
    let answered_id = response.headers().get(ATTEMPT_HEADER);
    if answered_id.is_some_and(|id| id.as_bytes() != attempt_id(offer).as_bytes()) {
        return Err(Fault::new(ErrorKind::BadAnswer).detail("the engine answered another request"));
    }
    let status = response.status();
    if !payload::is_final(status) {
        let detail = format!("the engine's answer has status {}", status.as_str());
        return Err(Fault::new(ErrorKind::BadAnswer).detail(detail));
    }
    let chunked = response.headers().contains_key(header::TRANSFER_ENCODING);
    if response.body().size_hint().exact().is_none() && !chunked {
        return Err(Fault::new(ErrorKind::BadAnswer)
            .detail("the engine's answer has neither a length nor chunks"));
    }
    Ok(())
}

/// Returns whether a request failed because its body ended early, which is no error of the engine.
fn is_body_error(e: &legacy::Error) -> bool {
    http_error(e).is_some_and(hyper::Error::is_user)
}

/// Returns whether a connection closed before anything of the request was sent.
fn is_unsent(e: &legacy::Error) -> bool {
    http_error(e).is_some_and(hyper::Error::is_canceled)
}

fn http_error(e: &legacy::Error) -> Option<&hyper::Error> {
    std::error::Error::source(e)?.downcast_ref()
}

fn attempt_id(offer: &Offer) -> smol_str::SmolStr {
    format_smolstr!("{}.{}", offer.request, offer.attempt)
}

fn channel_body(chunks: mpsc::Receiver<io::Result<Bytes>>) -> Body {
    let frames = futures::stream::unfold(chunks, |mut chunks| async move {
        let chunk = chunks.recv().await?;
        Some((chunk.map(Frame::data), chunks))
    });
    StreamBody::new(frames).boxed_unsync()
}
