//! Construction of forwarded requests and removal of hop-by-hop headers.

use http::{HeaderMap, Request, header, request};
use payload::Outgoing;
use smol_str::SmolStr;

use crate::{Protocol, metadata};

/// Headers that apply to a single connection and are never forwarded.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Builds the request that is sent to an endpoint.
pub(crate) fn build_request(
    protocol: &dyn Protocol,
    head: &request::Parts,
    body: Outgoing,
    metadata: &metadata::Forwarded<'_>,
) -> Request<Outgoing> {
    let mut headers = end_to_end(&head.headers);
    protocol.rewrite_headers(&mut headers, metadata);
    let mut request = Request::new(body);
    *request.method_mut() = head.method.clone();
    *request.uri_mut() = head
        .uri
        .path_and_query()
        .cloned()
        .map_or_else(|| head.uri.clone(), Into::into);
    *request.headers_mut() = headers;
    request
}

/// Copies the headers, without hop-by-hop headers and those that `Connection` lists.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let listed: Vec<SmolStr> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| SmolStr::new(name.trim().to_ascii_lowercase()))
        .collect();
    let is_end_to_end =
        |name: &str| !HOP_BY_HOP.contains(&name) && !listed.iter().any(|other| other == name);
    headers
        .iter()
        .filter(|(name, _)| is_end_to_end(name.as_str()))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}
