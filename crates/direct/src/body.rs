//! Bodies of answers to callers.

use std::io;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, combinators::UnsyncBoxBody};

/// Body of an answer; an error cuts the caller's connection, so that the answer looks incomplete.
pub(crate) type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Makes a body of bytes that are all here.
pub(crate) fn whole(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}
