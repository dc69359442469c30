use std::{io, marker::PhantomData};

use bytes::Bytes;
use futures::{SinkExt as _, StreamExt as _};
use quinn::{RecvStream, SendStream};
use serde::{Serialize, de::DeserializeOwned};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

/// Limit on the encoded size of a message, in bytes.
const MESSAGE_LIMIT: usize = 1024 * 1024;

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MESSAGE_LIMIT)
        .new_codec()
}

/// Sending half of a stream, which carries MessagePack messages with a length prefix.
pub struct Sender<M> {
    inner: FramedWrite<SendStream, LengthDelimitedCodec>,
    message: PhantomData<fn(M)>,
}

impl<M: Serialize> Sender<M> {
    pub(crate) fn new(stream: SendStream) -> Self {
        Self {
            inner: FramedWrite::new(stream, codec()),
            message: PhantomData,
        }
    }

    /// Encodes a message and sends it.
    ///
    /// # Errors
    ///
    /// Returns an error if the message exceeds the size limit, the stream or its link is broken, or
    /// the peer stopped reading.
    pub async fn send(&mut self, message: &M) -> io::Result<()> {
        let bytes = rmp_serde::to_vec(message).map_err(io::Error::other)?;
        self.inner.send(Bytes::from(bytes)).await
    }

    /// Marks the end of the stream; messages sent before it are still delivered.
    pub fn finish(&mut self) {
        let _ = self.inner.get_mut().finish();
    }

    /// Waits until the peer has acknowledged all data or stopped reading; returns `false` if the
    /// link breaks first.
    pub async fn stopped(&mut self) -> bool {
        self.inner.get_mut().stopped().await.is_ok()
    }

    /// Aborts the stream; messages not yet delivered may be lost.
    pub fn reset(&mut self) {
        let _ = self.inner.get_mut().reset(0_u32.into());
    }
}

/// Receiving half of a stream, which carries MessagePack messages with a length prefix.
pub struct Receiver<M> {
    inner: FramedRead<RecvStream, LengthDelimitedCodec>,
    message: PhantomData<fn() -> M>,
}

impl<M: DeserializeOwned> Receiver<M> {
    pub(crate) fn new(stream: RecvStream) -> Self {
        Self {
            inner: FramedRead::new(stream, codec()),
            message: PhantomData,
        }
    }

    /// Receives the next message, or `None` at the end of the stream.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream or its link is broken, or a message exceeds the size limit or
    /// cannot be decoded.
    pub async fn receive(&mut self) -> io::Result<Option<M>> {
        let Some(bytes) = self.inner.next().await else {
            return Ok(None);
        };
        let message = rmp_serde::from_slice(&bytes?).map_err(io::Error::other)?;
        Ok(Some(message))
    }
}
