use bytes::Bytes;
use conf::{Document, Route, ZoneState, id};
use fault::{ErrorKind, Fault};
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use rand::seq::IteratorRandom as _;
use serde::{Deserialize, Serialize};

use crate::{authenticate::authenticate, call::Context, deliver::Body, idempotency};

/// Path at which callers ask for an idempotency key.
const PATH: &str = "/v1/keys";
/// Largest body of such a request in bytes.
const BODY_LIMIT: usize = 4096;

/// Says what a key is for.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Wish {
    /// Service; may be left out if only one has routes that may not be repeated.
    service: Option<id::Service>,
}

/// Answers with a key.
#[derive(Debug, Serialize)]
struct Grant<'a> {
    key: &'a str,
    /// Seconds in which the key can be used.
    expires_in: u64,
}

/// Returns whether a request asks for a key.
pub(crate) fn asks(request: &Request<Incoming>) -> bool {
    request.method() == Method::POST && request.uri().path() == PATH
}

/// Issues an idempotency key to a caller.
///
/// # Errors
///
/// Returns a fault if the caller is not known, the wish is malformed or no endpoint can be reached.
pub(crate) async fn issue(
    context: &Context,
    request: Request<Incoming>,
) -> Result<Response<Body>, Fault> {
    let document = context
        .follow
        .current()
        .document
        .ok_or(ErrorKind::NotReady)?;
    let team = authenticate(&document, request.headers())?;
    let wish = read(request.into_body()).await?;
    let service = service(&document, wish)?;
    let endpoint = choose(context, &document, &service)
        .ok_or(Fault::new(ErrorKind::NoEndpoint).retry_after(crate::call::COME_BACK))?;
    let incarnation = context
        .fleet
        .incarnation(&endpoint)
        .ok_or(ErrorKind::NoEndpoint)?;
    let horizon = document.policy.retry_horizon;
    let key = idempotency::issue(&team, &endpoint, incarnation, horizon);
    let grant = Grant {
        key: &key.text,
        expires_in: horizon.as_secs(),
    };
    let text = serde_json::to_vec(&grant).map_err(|_| ErrorKind::Internal)?;
    let body = Full::new(Bytes::from(text)).map_err(|never| match never {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = StatusCode::CREATED;
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    Ok(response)
}

async fn read(body: Incoming) -> Result<Wish, Fault> {
    let bytes = Limited::new(body, BODY_LIMIT)
        .collect()
        .await
        .map_err(|_| ErrorKind::Malformed)?
        .to_bytes();
    if bytes.is_empty() {
        return Ok(Wish::default());
    }
    serde_json::from_slice(&bytes).map_err(|_| {
        Fault::new(ErrorKind::Malformed).detail("the body is empty or {\"service\": NAME}")
    })
}

/// Finds the service that is wished for, or the only one with routes that may not be repeated.
fn service(document: &Document, wish: Wish) -> Result<id::Service, Fault> {
    let once = |routes: &[Route]| routes.iter().any(|route| !route.repeatable);
    let mut fitting = document
        .services
        .iter()
        .filter(|(name, service)| match &wish.service {
            Some(wished) => *name == wished,
            None => once(&service.routes),
        });
    match (fitting.next(), fitting.next()) {
        (Some((name, _)), None) => Ok(name.clone()),
        _ => Err(Fault::new(ErrorKind::Malformed)
            .detail("name the service that the key is for: {\"service\": NAME}")),
    }
}

/// Chooses an endpoint that takes work, in the own zone if there is one.
fn choose(context: &Context, document: &Document, service: &id::Service) -> Option<id::Endpoint> {
    let hints = context.fleet.hints();
    let open = document.endpoints.iter().filter(|(name, endpoint)| {
        let zone = document.zones.get(&endpoint.zone);
        endpoint.service == *service
            && !endpoint.leaving
            && zone.is_some_and(|zone| zone.state == ZoneState::In)
            && hints.get(*name).is_some_and(|hint| hint.open)
            && context.links.get(endpoint.agent).is_some()
    });
    let (near, far): (Vec<_>, Vec<_>) =
        open.partition(|(_, endpoint)| endpoint.zone == context.zone);
    let fitting = if near.is_empty() { far } else { near };
    let chosen = fitting.into_iter().choose(&mut rand::rng())?;
    Some(chosen.0.clone())
}
