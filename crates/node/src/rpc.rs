//! Remote calls over TCP without TLS, for processes that have no certificates.

use std::{io, net::SocketAddr, time::Duration};

use anyhow::Context as _;
use futures::{Sink, Stream};
use serde::{Deserialize, Serialize};
use tokio::{
    net::{TcpListener, TcpStream},
    time,
};
use tokio_serde::formats::MessagePack;
use tokio_util::codec::LengthDelimitedCodec;

use crate::configure_socket;

/// Delay after a connection could not be accepted, such as when file descriptors run out.
const RETRY_DELAY: Duration = Duration::from_millis(100);

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

/// Accepts the next connection and sets the socket options of [`configure_socket`]; retries after a failure.
pub async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        let accepted = listener.accept().await;
        match accepted.and_then(|(stream, _)| configure_socket(&stream).map(|()| stream)) {
            Ok(stream) => return stream,
            Err(e) => {
                log::warn!(reason:% = e; "connection from another process could not be accepted");
                time::sleep(RETRY_DELAY).await;
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
