use std::io;

use bytes::Bytes;
use fault::{ErrorKind, Fault};
use http::{HeaderName, HeaderValue, Response};
use http_body_util::{BodyExt as _, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::Frame;
use once::{Delivery, Piece};
use tokio::sync::mpsc::{self, Receiver, Sender};
use wire::{Head, Reply};

/// Body of an answer; it ends with an error if the answer is cut, so that no client takes it for whole.
pub(crate) type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Pieces of an answer that wait for the caller to read them.
const WAITING: usize = 4;

/// Reads the head of an answer.
///
/// # Errors
///
/// Returns a fault if the answer ends or breaks before its head.
pub(crate) async fn head(
    receiver: &mut wire::Receiver<Reply>,
    delivery: &mut Delivery,
) -> Result<Head, Fault> {
    loop {
        match next(receiver, delivery).await? {
            Piece::Head(head) => return Ok(head),
            Piece::Nothing => {}
            Piece::Data(_) | Piece::End => return Err(ErrorKind::BadAnswer.into()),
        }
    }
}

/// Reads the next piece of an answer.
///
/// # Errors
///
/// Returns a fault if the answer ends early or breaks.
pub(crate) async fn next(
    receiver: &mut wire::Receiver<Reply>,
    delivery: &mut Delivery,
) -> Result<Piece, Fault> {
    match receiver.receive().await {
        Ok(Some(reply)) => delivery.accept(reply),
        Ok(None) | Err(_) => Err(ErrorKind::Interrupted.into()),
    }
}

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

fn body(receiver: Receiver<io::Result<Bytes>>) -> Body {
    let pieces = futures::stream::unfold(receiver, |mut receiver| async move {
        let piece = receiver.recv().await?;
        Some((piece.map(Frame::data), receiver))
    });
    StreamBody::new(pieces).boxed_unsync()
}
