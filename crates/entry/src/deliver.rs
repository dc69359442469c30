use std::io;

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Response};
use http_body_util::{BodyExt as _, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::Frame;
use smol_str::SmolStr;
use tokio::sync::mpsc::{self, Receiver, Sender};
use wire::Head;

use crate::idempotency;

/// Body of a response.
///
/// If the answer is incomplete the body ends with an error, so that no client treats it as
/// complete.
pub(crate) type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Number of body chunks that are buffered until the client reads them.
const BODY_QUEUE_CHUNKS: usize = 4;

/// Returns a response with the given head, and the sender through which its body is written.
pub(crate) fn respond(head: &Head, request: &str) -> (Response<Body>, Sender<io::Result<Bytes>>) {
    let (sender, receiver) = mpsc::channel(BODY_QUEUE_CHUNKS);
    let mut response = Response::new(channel_body(receiver));
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

/// Adds the idempotency key with which the client may repeat the request to get the same answer.
pub(crate) fn set_key(response: &mut Response<Body>, key: Option<&SmolStr>) {
    let value = key.and_then(|key| HeaderValue::from_str(key).ok());
    if let Some(value) = value {
        response.headers_mut().insert(idempotency::HEADER, value);
    }
}

fn channel_body(receiver: Receiver<io::Result<Bytes>>) -> Body {
    let frames = futures::stream::unfold(receiver, |mut receiver| async move {
        let chunk = receiver.recv().await?;
        Some((chunk.map(Frame::data), receiver))
    });
    StreamBody::new(frames).boxed_unsync()
}
