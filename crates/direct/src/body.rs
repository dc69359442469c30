//! Bodies of responses to clients.

use std::io;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, combinators::UnsyncBoxBody};
use payload::Message;

/// Body of a response; an error closes the client's connection, so that the client sees an
/// incomplete response.
pub(crate) type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Creates a body from bytes that are completely in memory.
pub(crate) fn full(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Creates a body from a message.
pub(crate) fn message(message: &Message) -> Body {
    message
        .outgoing()
        .map_err(|never| match never {})
        .boxed_unsync()
}
