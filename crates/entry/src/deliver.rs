use std::io;

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Response};
use http_body_util::{BodyExt as _, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::Frame;
use smol_str::SmolStr;
use tokio::sync::mpsc::{self, Receiver, Sender};
use wire::Head;

use crate::idempotency;

/// Body of an answer; it ends with an error if the answer is cut, so that no client takes it for whole.
pub(crate) type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Pieces of an answer that wait for the caller to read them.
const WAITING: usize = 4;

/// Makes the response of which the body comes through the returned sender.
pub(crate) fn respond(head: &Head, request: &str) -> (Response<Body>, Sender<io::Result<Bytes>>) {
    let (sender, receiver) = mpsc::channel(WAITING);
    let mut response = Response::new(body(receiver));
    *response.status_mut() =
        http::StatusCode::from_u16(head.status).unwrap_or(http::StatusCode::BAD_GATEWAY);
    for header in &head.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    if let Ok(value) = HeaderValue::from_str(request) {
        response.headers_mut().insert("x-request-id", value);
    }
    (response, sender)
}

/// Tells the caller the key under which it may ask for the answer again.
pub(crate) fn name_key(response: &mut Response<Body>, key: Option<&SmolStr>) {
    let value = key.and_then(|key| HeaderValue::from_str(key).ok());
    if let Some(value) = value {
        response.headers_mut().insert(idempotency::HEADER, value);
    }
}

fn body(receiver: Receiver<io::Result<Bytes>>) -> Body {
    let pieces = futures::stream::unfold(receiver, |mut receiver| async move {
        let piece = receiver.recv().await?;
        Some((piece.map(Frame::data), receiver))
    });
    StreamBody::new(pieces).boxed_unsync()
}
