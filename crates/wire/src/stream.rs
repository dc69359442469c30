use std::{io, marker::PhantomData};

use bytes::Bytes;
use futures::{SinkExt as _, StreamExt as _};
use quinn::{RecvStream, SendStream};
use serde::{Serialize, de::DeserializeOwned};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

/// Largest message in bytes.
const MESSAGE_LIMIT: usize = 1024 * 1024;

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MESSAGE_LIMIT)
        .new_codec()
}

/// Sends typed messages on one direction of a stream.
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

    /// Sends a message.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream or its link is broken, or the other side stopped reading.
    pub async fn send(&mut self, message: &M) -> io::Result<()> {
        let bytes = rmp_serde::to_vec(message).map_err(io::Error::other)?;
        self.inner.send(Bytes::from(bytes)).await
    }

    /// Ends this direction in order.
    pub fn finish(&mut self) {
        let _ = self.inner.get_mut().finish();
    }

    /// Waits until the other side has received all, or stopped reading; returns whether it did
    /// before the link broke.
    pub async fn stopped(&mut self) -> bool {
        self.inner.get_mut().stopped().await.is_ok()
    }

    /// Breaks this direction off.
    pub fn reset(&mut self) {
        let _ = self.inner.get_mut().reset(0_u32.into());
    }
}

/// Receives typed messages on one direction of a stream.
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
    /// Returns an error if the stream or its link is broken, or a message cannot be decoded.
    pub async fn receive(&mut self) -> io::Result<Option<M>> {
        let Some(bytes) = self.inner.next().await else {
            return Ok(None);
        };
        let message = rmp_serde::from_slice(&bytes?).map_err(io::Error::other)?;
        Ok(Some(message))
    }
}
