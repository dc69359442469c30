//! Remote calls over TCP between processes that have no certificates.

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

use crate::tune;

/// Pause after a connection could not be accepted, as when descriptors run out.
const PAUSE: Duration = Duration::from_millis(100);

/// Connects to another process.
///
/// # Errors
///
/// Returns an error if it cannot be reached in time.
pub async fn connect(address: SocketAddr, patience: Duration) -> anyhow::Result<TcpStream> {
    let stream = time::timeout(patience, TcpStream::connect(address))
        .await
        .context("no connection in time")??;
    tune(&stream)?;
    Ok(stream)
}

/// Accepts the next connection from another process.
pub async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        let accepted = listener.accept().await;
        match accepted.and_then(|(stream, _)| tune(&stream).map(|()| stream)) {
            Ok(stream) => return stream,
            Err(e) => {
                log::warn!(reason:% = e; "another process could not be accepted");
                time::sleep(PAUSE).await;
            }
        }
    }
}

/// Carries the messages of remote calls over a connection.
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
