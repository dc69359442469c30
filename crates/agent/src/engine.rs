use std::{io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use fault::{ErrorKind, Fault};
use http::{HeaderName, HeaderValue, Request, Response, header};
use http_body_util::{BodyExt as _, Empty, Limited, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::{Body as _, Frame, Incoming};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use serde::Deserialize;
use smol_str::format_smolstr;
use tokio::{sync::mpsc, time};
use wire::Offer;

/// Header by which an engine's answer names the attempt that it answers.
pub(crate) const ATTEMPT: &str = "x-attempt-id";
/// Time in which a health probe must be answered.
const PROBE: Duration = Duration::from_secs(1);
/// Time after which callers come back to an engine that cannot be reached.
const COME_BACK: Duration = Duration::from_secs(1);
/// Time for which an idle connection is trusted.
const IDLE: Duration = Duration::from_secs(2);
/// Largest answer to a health probe, in bytes.
const HEALTH_LIMIT: usize = 4096;

type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Speaks HTTP with the engine or service beside the agent.
#[derive(Clone)]
pub(crate) struct Engine {
    address: SocketAddr,
    pooled: Client<HttpConnector, Body>,
    fresh: Client<HttpConnector, Body>,
}

/// What an engine says about itself; a plain service may leave all of it out.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Health {
    /// Number that changes at each start.
    pub(crate) boot: Option<u64>,
    /// Requests in its batch.
    pub(crate) running: u32,
    /// Requests that it has queued.
    pub(crate) queued: u32,
}

impl Engine {
    /// Creates a client for an address.
    pub(crate) fn new(address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(PROBE));
        let mut builder = Client::builder(TokioExecutor::new());
        builder
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE)
            .retry_canceled_requests(false);
        Self {
            address,
            pooled: builder.build(connector.clone()),
            fresh: builder.pool_max_idle_per_host(0).build(connector),
        }
    }

    /// Returns the client for an attempt. One that may not be repeated gets a connection of its own:
    /// if an idle one broke just now, nobody could tell whether the endpoint had read the request.
    fn client(&self, offer: &Offer) -> &Client<HttpConnector, Body> {
        if offer.key.is_some() {
            &self.fresh
        } else {
            &self.pooled
        }
    }

    /// Asks for the state.
    pub(crate) async fn health(&self) -> anyhow::Result<Health> {
        let body = Empty::new().map_err(|never| match never {}).boxed_unsync();
        let request = Request::get(format!("http://{}/health", self.address)).body(body)?;
        let response = time::timeout(PROBE, self.pooled.request(request)).await??;
        anyhow::ensure!(
            response.status().is_success(),
            "status {}",
            response.status()
        );
        let body = Limited::new(response.into_body(), HEALTH_LIMIT).collect();
        let bytes = time::timeout(PROBE, body)
            .await?
            .map_err(anyhow::Error::from_boxed)?
            .to_bytes();
        Ok(serde_json::from_slice(&bytes).unwrap_or_default())
    }

    /// Sends an attempt; the body comes through `body`.
    ///
    /// # Errors
    ///
    /// Returns a fault whose run is unknown once bytes were sent: nobody but the engine knows.
    pub(crate) async fn send(
        &self,
        offer: &Offer,
        body: mpsc::Receiver<io::Result<Bytes>>,
    ) -> Result<Response<Incoming>, Fault> {
        let request = self
            .request(offer, body)
            .ok_or(Fault::new(ErrorKind::Malformed))?;
        let response = self.client(offer).request(request).await.map_err(|e| {
            log::info!("request {}: the engine gave no answer: {e}", offer.request);
            if e.is_connect() {
                return Fault::new(ErrorKind::NoEndpoint).retry_after(COME_BACK);
            }
            if cut_by_caller(&e) {
                return Fault::new(ErrorKind::Malformed).run_unknown();
            }
            Fault::new(ErrorKind::Interrupted)
        })?;
        check(offer, &response)?;
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
        builder.header(ATTEMPT, id.as_str()).body(stream(body)).ok()
    }
}

/// Checks that an answer is that of the attempt, and that its end can be told from a cut.
fn check(offer: &Offer, response: &Response<Incoming>) -> Result<(), Fault> {
    let named = response.headers().get(ATTEMPT);
    if named.is_some_and(|named| named.as_bytes() != attempt_id(offer).as_bytes()) {
        return Err(Fault::new(ErrorKind::BadAnswer).detail("the engine answered another request"));
    }
    let chunked = response.headers().contains_key(header::TRANSFER_ENCODING);
    if response.body().size_hint().exact().is_none() && !chunked {
        return Err(Fault::new(ErrorKind::BadAnswer)
            .detail("the engine's answer has neither a length nor chunks"));
    }
    Ok(())
}

/// Returns whether the request's own body ended early; that says nothing about the engine.
fn cut_by_caller(e: &hyper_util::client::legacy::Error) -> bool {
    let source = std::error::Error::source(e).and_then(|e| e.downcast_ref::<hyper::Error>());
    source.is_some_and(hyper::Error::is_user)
}

fn attempt_id(offer: &Offer) -> smol_str::SmolStr {
    format_smolstr!("{}.{}", offer.request, offer.attempt)
}

fn stream(body: mpsc::Receiver<io::Result<Bytes>>) -> Body {
    let frames = futures::stream::unfold(body, |mut body| async move {
        let piece = body.recv().await?;
        Some((piece.map(Frame::data), body))
    });
    StreamBody::new(frames).boxed_unsync()
}
