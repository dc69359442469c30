use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use crate::Exchange;

/// Body of an answer, whose end is that of its exchange.
pub struct Answer<B> {
    inner: B,
    _exchange: Exchange,
}

impl<B> Answer<B> {
    /// Wraps the body of the answer in an exchange.
    #[must_use]
    pub const fn new(inner: B, exchange: Exchange) -> Self {
        Self {
            inner,
            _exchange: exchange,
        }
    }
}

impl<B: Body<Data = Bytes> + Unpin> Body for Answer<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        Pin::new(&mut self.inner).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
