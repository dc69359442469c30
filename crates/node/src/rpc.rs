//! Remote calls over TCP without TLS, for processes that have no certificates.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use anyhow::Context as _;
use futures::{Sink, Stream};
use quota::{Connections, Slot};
use serde::{Deserialize, Serialize};
use tokio::{
    net::{TcpListener, TcpStream},
    time,
};
use tokio_serde::formats::MessagePack;
use tokio_util::codec::LengthDelimitedCodec;

use crate::configure_socket;

/// Largest number of connections from other processes.
const MAX_CONNECTIONS: usize = 256;

/// Connects to another process and sets the socket options of [`configure_socket`].
///
/// # Errors
///
/// Returns an error if the connection fails, is not established within `timeout`, or the operating
/// system rejects a socket option.
pub async fn connect(address: SocketAddr, timeout: Duration) -> anyhow::Result<TcpStream> {
    let stream = time::timeout(timeout, TcpStream::connect(address))
        .await
        .context("connection timed out")??;
    configure_socket(&stream)?;
    Ok(stream)
}

/// Listener for the connections of other processes, of which it serves a limited number.
pub struct Listener {
    inner: TcpListener,
    connections: Connections,
}

impl Listener {
    /// Wraps a TCP listener.
    #[must_use]
    pub fn new(inner: TcpListener) -> Self {
        Self {
            inner,
            connections: Connections::new(MAX_CONNECTIONS),
        }
    }

    /// Accepts the next connection and sets the socket options of [`configure_socket`]; retries after a failure.
    ///
    /// The connection must be closed when its slot is revoked.
    pub async fn accept(&self) -> (TcpStream, Arc<Slot>) {
        loop {
            let (stream, slot) = self.connections.accept(&self.inner).await;
            match configure_socket(&stream) {
                Ok(()) => return (stream, slot),
                Err(e) => {
                    log::warn!(reason:% = e; "connection from another process could not be configured");
                }
            }
        }
    }
}

/// Creates a `tarpc` transport of length-delimited MessagePack messages over a connection.
pub fn transport<In, Out>(
    stream: TcpStream,
) -> impl Stream<Item = io::Result<In>> + Sink<Out, Error = io::Error>
where
    In: for<'de> Deserialize<'de>,
    Out: Serialize,
{
    let framed = LengthDelimitedCodec::builder().new_framed(stream);
    tarpc::serde_transport::new(framed, MessagePack::<In, Out>::default())
}
