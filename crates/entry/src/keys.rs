use bytes::Bytes;
use conf::{Document, Route, ZoneState, id};
use fault::{ErrorKind, Fault};
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use rand::seq::IteratorRandom as _;
use serde::{Deserialize, Serialize};

use crate::{authenticate::authenticate, call::Context, deliver::Body, idempotency};

/// Path at which clients request an idempotency key.
const PATH: &str = "/v1/keys";
/// Largest body of a request for a key, in bytes.
const MAX_BODY_BYTES: usize = 4096;

/// Body of a request for a key.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Parameters {
    /// Service to use the key with; may be absent if only one service has routes that are not
    /// repeatable.
    service: Option<id::Service>,
}

/// Body of the response that carries an issued key.
#[derive(Debug, Serialize)]
struct Grant<'a> {
    key: &'a str,
    /// Time until the key expires, in seconds.
    expires_in: u64,
}

/// Returns whether a request asks for a key.
pub(crate) fn matches(request: &Request<Incoming>) -> bool {
    request.method() == Method::POST && request.uri().path() == PATH
}

/// Issues an idempotency key to a client.
///
/// # Errors
///
/// Returns a fault if the entry has no configuration yet, the client is not authenticated, the body
/// is malformed or no endpoint of the service can take requests.
pub(crate) async fn issue(
    context: &Context,
    request: Request<Incoming>,
) -> Result<Response<Body>, Fault> {
    let document = context
        .follower
        .current()
        .document
        .ok_or(ErrorKind::NotReady)?;
    let team = authenticate(&document, request.headers())?;
    let parameters = read_parameters(request.into_body()).await?;
    let service = resolve_service(&document, parameters)?;
    let endpoint = choose_endpoint(context, &document, &service).ok_or(
        Fault::new(ErrorKind::NoEndpoint).retry_after(crate::call::NO_ENDPOINT_RETRY_AFTER),
    )?;
    let incarnation = context
        .endpoints
        .incarnation(&endpoint)
        .ok_or(ErrorKind::NoEndpoint)?;
    let lifetime = document.policy.retry_horizon;
    let key = idempotency::issue(&team, &endpoint, incarnation, lifetime);
    let grant = Grant {
        key: &key.text,
        expires_in: lifetime.as_secs(),
    };
    let bytes = serde_json::to_vec(&grant).map_err(|_| ErrorKind::Internal)?;
    let body = Full::new(Bytes::from(bytes)).map_err(|never| match never {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = StatusCode::CREATED;
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    Ok(response)
}

async fn read_parameters(body: Incoming) -> Result<Parameters, Fault> {
    let bytes = payload::collect(body, MAX_BODY_BYTES)
        .await
        .map_err(|_| ErrorKind::Malformed)?;
    if bytes.is_empty() {
        return Ok(Parameters::default());
    }
    serde_json::from_slice(&bytes).map_err(|_| {
        Fault::new(ErrorKind::Malformed).detail("the body is empty or {\"service\": NAME}")
    })
}

/// Returns the requested service, or the only one with routes that are not repeatable.
fn resolve_service(document: &Document, parameters: Parameters) -> Result<id::Service, Fault> {
    let needs_keys = |routes: &[Route]| routes.iter().any(|route| !route.repeatable);
    let mut matching =
        document
            .services
            .iter()
            .filter(|(name, service)| match &parameters.service {
                Some(requested) => *name == requested,
                None => needs_keys(&service.routes),
            });
    match (matching.next(), matching.next()) {
        (Some((name, _)), None) => Ok(name.clone()),
        _ => Err(Fault::new(ErrorKind::Malformed)
            .detail("name the service that the key is for: {\"service\": NAME}")),
    }
}

/// Returns a random endpoint that takes requests, in the entry's own zone if there is one.
fn choose_endpoint(
    context: &Context,
    document: &Document,
    service: &id::Service,
) -> Option<id::Endpoint> {
    let hints = context.endpoints.hints();
    let open = document.endpoints.iter().filter(|(name, endpoint)| {
        let zone = document.zones.get(&endpoint.zone);
        endpoint.service == *service
            && !endpoint.leaving
            && zone.is_some_and(|zone| zone.state == ZoneState::In)
            && hints.get(*name).is_some_and(|hint| hint.open)
            && context.links.get(endpoint.agent).is_some()
    });
    let (local, remote): (Vec<_>, Vec<_>) =
        open.partition(|(_, endpoint)| endpoint.zone == context.zone);
    let candidates = if local.is_empty() { remote } else { local };
    let (name, _) = candidates.into_iter().choose(&mut rand::rng())?;
    Some(name.clone())
}
