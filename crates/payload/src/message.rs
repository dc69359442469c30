use std::{
    convert::Infallible,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::{Buf as _, Bytes, BytesMut};
use hyper::body::{Body, Frame, SizeHint};
use quota::{Denial, Lease, SMALL_MESSAGE_BYTES};
use tokio_util::sync::CancellationToken;

/// Size of a segment, in bytes; the first one needs no lease.
const SEGMENT_BYTES: usize = SMALL_MESSAGE_BYTES;

/// Complete body in memory, in segments, so that its memory grows as its bytes arrive and is never copied to grow.
#[derive(Clone, Debug, Default)]
pub struct Message {
    inner: Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    segments: Vec<Bytes>,
    length: usize,
    lease: Option<Lease>,
}

impl Message {
    /// Returns the length of the body in bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.inner.length
    }

    /// Returns whether the body has no bytes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.inner.length == 0
    }

    /// Returns the parts of the body in order.
    pub fn segments(&self) -> impl Iterator<Item = &[u8]> {
        self.inner.segments.iter().map(|segment| &segment[..])
    }

    /// Returns the body for sending; the memory stays taken until all copies are dropped.
    #[must_use]
    pub fn outgoing(&self) -> Outgoing {
        Outgoing {
            message: self.clone(),
            next: 0,
            left: self.inner.length,
        }
    }

    /// Lets `revocation` be cancelled if the memory of the body is needed and sending it makes no progress.
    pub fn expose(&self, revocation: CancellationToken) {
        if let Some(lease) = &self.inner.lease {
            lease.expose(revocation);
        }
    }
}

/// Body that sends a [`Message`].
#[derive(Debug)]
pub struct Outgoing {
    message: Message,
    next: usize,
    /// Number of bytes that are not sent yet.
    left: usize,
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let inner = &self.message.inner;
        let Some(segment) = inner.segments.get(self.next).cloned() else {
            return Poll::Ready(None);
        };
        if let Some(lease) = &inner.lease {
            lease.record_progress();
        }
        self.next += 1;
        self.left -= segment.len();
        Poll::Ready(Some(Ok(Frame::data(segment))))
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left as u64)
    }
}

/// Message that is being received.
pub(crate) struct Builder<F> {
    make_lease: F,
    /// Only frame so far, which is not copied.
    first: Bytes,
    segments: Vec<Bytes>,
    /// Last segment.
    current: BytesMut,
    length: usize,
    lease: Option<Lease>,
}

impl<F: Fn() -> Lease> Builder<F> {
    pub(crate) fn new(make_lease: F) -> Self {
        Self {
            make_lease,
            first: Bytes::new(),
            segments: Vec::new(),
            current: BytesMut::new(),
            length: 0,
            lease: None,
        }
    }

    /// Waits until the memory must be released.
    pub(crate) async fn revoked(&self) {
        match &self.lease {
            Some(lease) => lease.revoked().await,
            None => std::future::pending().await,
        }
    }

    /// Appends a frame; returns whether it filled a segment.
    pub(crate) async fn push(&mut self, data: Bytes) -> Result<bool, Denial> {
        if self.length == 0 && data.len() <= SEGMENT_BYTES {
            self.length = data.len();
            self.first = data;
            return Ok(false);
        }
        self.length += data.len();
        let (first, filled) = (std::mem::take(&mut self.first), self.segments.len());
        self.copy(first).await?;
        self.copy(data).await?;
        Ok(self.segments.len() > filled)
    }

    async fn copy(&mut self, mut data: Bytes) -> Result<(), Denial> {
        while !data.is_empty() {
            if self.current.len() == SEGMENT_BYTES {
                let lease = self.lease.get_or_insert_with(&self.make_lease);
                lease.grow(SEGMENT_BYTES).await?;
                let next = BytesMut::with_capacity(SEGMENT_BYTES);
                let full = std::mem::replace(&mut self.current, next);
                self.segments.push(full.freeze());
            }
            let length = data.len().min(SEGMENT_BYTES - self.current.len());
            self.current.extend_from_slice(&data[..length]);
            data.advance(length);
        }
        Ok(())
    }

    /// Returns the complete message, whose memory is not revoked unless it is exposed.
    pub(crate) fn finish(mut self) -> Result<Message, Denial> {
        if let Some(lease) = &self.lease {
            lease.protect()?;
        }
        let last = [self.first, self.current.freeze()];
        self.segments
            .extend(last.into_iter().filter(|last| !last.is_empty()));
        let inner = Inner {
            segments: self.segments,
            length: self.length,
            lease: self.lease,
        };
        Ok(Message {
            inner: Arc::new(inner),
        })
    }
}
