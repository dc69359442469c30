use std::{
    io,
    mem::MaybeUninit,
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpListener, TcpSocket, TcpStream},
    time::{self, Sleep},
};

use crate::{Patience, Slot, limits::RECEIVE_BUFFER_BYTES};

/// Bytes that are discarded at once.
const DISCARD_BYTES: usize = 16 * 1024;

/// Client connection that ends if the client does not read what is sent to it.
pub struct Stream {
    inner: TcpStream,
    slot: Arc<Slot>,
    write_timeout: Duration,
    /// Ends the connection; present while the client does not read.
    blocked: Option<Pin<Box<Sleep>>>,
    linger: Option<Linger>,
}

/// Wait for the client of a connection whose sending half is closed.
struct Linger {
    end: Pin<Box<Sleep>>,
    /// Number of bytes that may still be read.
    left: usize,
}

impl Stream {
    /// Wraps an accepted connection; it ends if nothing can be written for `write_timeout`.
    #[must_use]
    pub fn new(inner: TcpStream, slot: Arc<Slot>, write_timeout: Duration) -> Self {
        Self {
            inner,
            slot,
            write_timeout,
            blocked: None,
            linger: None,
        }
    }

    /// Limits the kernel's receive buffers of the connections that a listener accepts.
    pub fn limit_receive_buffers(listener: &TcpListener) {
        if let Err(e) = SockRef::from(listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES) {
            log::warn!(reason:% = e; "receive buffers cannot be limited");
        }
    }

    /// Starts the timeout when a write has to wait, and stops it when one succeeds.
    fn track<T>(
        &mut self,
        cx: &mut Context<'_>,
        result: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if result.is_ready() {
            if self.blocked.take().is_some() {
                self.slot.set_blocked(false);
            }
            return result;
        }
        let blocked = self.blocked.get_or_insert_with(|| {
            self.slot.set_blocked(true);
            Box::pin(time::sleep(self.write_timeout))
        });
        ready!(blocked.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    /// Reads and discards until the client closes the connection or a limit is reached.
    fn poll_linger(&mut self, cx: &mut Context<'_>, patience: Patience) -> Poll<()> {
        let linger = self.linger.get_or_insert_with(|| Linger {
            end: Box::pin(time::sleep(patience.time)),
            left: patience.bytes,
        });
        if linger.end.as_mut().poll(cx).is_ready() {
            return Poll::Ready(());
        }
        while linger.left > 0 {
            let mut bytes = [MaybeUninit::uninit(); DISCARD_BYTES];
            let mut buffer = ReadBuf::uninit(&mut bytes);
            let read = ready!(Pin::new(&mut self.inner).poll_read(cx, &mut buffer));
            if read.is_err() || buffer.filled().is_empty() {
                return Poll::Ready(());
            }
            linger.left = linger.left.saturating_sub(buffer.filled().len());
        }
        Poll::Pending
    }
}

/// Connects to an endpoint, with a receive buffer of the size that those of clients have.
///
/// What a client does not read stays in this buffer, too.
///
/// # Errors
///
/// Returns an error if the connection fails.
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    if let Err(e) = SockRef::from(&socket).set_recv_buffer_size(RECEIVE_BUFFER_BYTES) {
        log::warn!(reason:% = e; "receive buffer cannot be limited");
    }
    socket.connect(address).await
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buffer)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.inner).poll_write(cx, bytes);
        self.track(cx, result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.inner).poll_write_vectored(cx, slices);
        self.track(cx, result)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.linger.is_none() {
            ready!(Pin::new(&mut self.inner).poll_shutdown(cx))?;
        }
        if let Some(patience) = self.slot.patience() {
            ready!(self.poll_linger(cx, patience));
        }
        Poll::Ready(Ok(()))
    }
}
