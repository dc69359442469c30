use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Largest number of bytes that are read from a connection without a part of a message.
const MAX_BYTES: usize = 1 << 20;

/// Count of the bytes that were read from a connection since the last part of a message: a head, or a frame of a body.
///
/// The HTTP library limits each head, but reads interim responses and the size of a chunk without an end.
#[derive(Clone, Debug, Default)]
pub struct Meter(Arc<AtomicUsize>);

impl Meter {
    /// Counts what is read from a connection, or the frames of a body that comes over it.
    #[must_use]
    pub fn wrap<T>(&self, inner: T) -> Metered<T> {
        Metered {
            inner,
            meter: self.clone(),
        }
    }

    /// Records that a part of a message was received, or that a new one begins.
    pub fn record_part(&self) {
        self.0.store(0, Ordering::Relaxed);
    }

    /// Records that bytes were read.
    fn record_read(&self, bytes: usize) -> io::Result<()> {
        let total = self.0.fetch_add(bytes, Ordering::Relaxed) + bytes;
        if total <= MAX_BYTES {
            return Ok(());
        }
        let reason = format!("{total} bytes without a part of a message");
        Err(io::Error::new(io::ErrorKind::InvalidData, reason))
    }
}

/// Connection or body whose bytes or frames are counted by a [`Meter`].
#[derive(Debug)]
pub struct Metered<T> {
    inner: T,
    meter: Meter,
}

impl<T> Metered<T> {
    pub(crate) const fn inner(&self) -> &T {
        &self.inner
    }

    pub(crate) const fn meter(&self) -> &Meter {
        &self.meter
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Metered<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(cx, buffer))?;
        Poll::Ready(self.meter.record_read(buffer.filled().len() - before))
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Metered<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}

impl<T: Body<Data = Bytes> + Unpin> Body for Metered<T> {
    type Data = Bytes;
    type Error = T::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, T::Error>>> {
        let frame = ready!(Pin::new(&mut self.inner).poll_frame(cx));
        self.meter.record_part();
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
