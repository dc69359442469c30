use std::{
    io,
    net::{Ipv4Addr, Ipv6Addr, SocketAddr},
    sync::Arc,
};

use futures::{Sink, Stream, StreamExt as _};
use quinn::{Connection, Endpoint, RecvStream, SendStream};
use tarpc::{
    client,
    server::{BaseChannel, Channel as _},
};
use tokio_util::codec::LengthDelimitedCodec;

use crate::{
    Control as _, ControlClient, Frame, Handler, Receiver, Reply, Sender, Tls, control::Service,
    tls::SERVER_NAME,
};

/// Says what a stream carries; its first byte.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum Purpose {
    /// Remote calls of [`crate::Control`].
    Control = 1,
    /// One attempt at one request.
    Work = 2,
}

/// Accepts links from other processes.
pub struct Listener {
    endpoint: Endpoint,
}

impl Listener {
    /// Listens on a UDP address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn bind(address: SocketAddr, tls: &Tls) -> io::Result<Self> {
        let endpoint = Endpoint::server(tls.server.clone(), address)?;
        Ok(Self { endpoint })
    }

    /// Returns the address that was bound.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket is broken.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.endpoint.local_addr()
    }

    /// Accepts the next link; `None` once the listener is closed.
    pub async fn accept(&self) -> Option<Link> {
        loop {
            let incoming = self.endpoint.accept().await?;
            match incoming.await {
                Ok(connection) => {
                    return Some(Link {
                        connection,
                        endpoint: None,
                    });
                }
                Err(e) => log::debug!("a link was not set up: {e}"),
            }
        }
    }
}

/// Connection to another process.
#[derive(Clone)]
pub struct Link {
    connection: Connection,
    /// Kept alive with a link that was dialled; each has a UDP port of its own, because a path
    /// that lost track of one flow also swallows new connections on the same four numbers.
    endpoint: Option<Endpoint>,
}

impl Link {
    /// Dials another process from a new local port.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free or the other side cannot be reached or trusted.
    pub async fn dial(address: SocketAddr, tls: &Tls) -> anyhow::Result<Self> {
        let local: SocketAddr = match address {
            SocketAddr::V4(_) => (Ipv4Addr::UNSPECIFIED, 0).into(),
            SocketAddr::V6(_) => (Ipv6Addr::UNSPECIFIED, 0).into(),
        };
        let endpoint = Endpoint::client(local)?;
        let connecting = endpoint.connect_with(tls.client.clone(), address, SERVER_NAME)?;
        let connection = connecting.await?;
        Ok(Self {
            connection,
            endpoint: Some(endpoint),
        })
    }

    /// Returns the address of the other side.
    #[must_use]
    pub fn remote_address(&self) -> SocketAddr {
        self.connection.remote_address()
    }

    /// Returns the bytes that the link has carried, both ways, with all headers above UDP.
    #[must_use]
    pub fn traffic(&self) -> u64 {
        let stats = self.connection.stats();
        stats.udp_tx.bytes + stats.udp_rx.bytes
    }

    /// Opens a stream for one attempt.
    ///
    /// # Errors
    ///
    /// Returns an error if the link is broken.
    pub async fn open_work(&self) -> io::Result<(Sender<Frame>, Receiver<Reply>)> {
        let (send, receive) = self.open(Purpose::Work).await?;
        Ok((Sender::new(send), Receiver::new(receive)))
    }

    /// Opens a stream for remote calls and starts its client.
    ///
    /// # Errors
    ///
    /// Returns an error if the link is broken.
    pub async fn open_control(&self) -> io::Result<ControlClient> {
        let (send, receive) = self.open(Purpose::Control).await?;
        let transport = transport(send, receive);
        Ok(ControlClient::new(client::Config::default(), transport).spawn())
    }

    async fn open(&self, purpose: Purpose) -> io::Result<(SendStream, RecvStream)> {
        let (mut send, receive) = self.connection.open_bi().await?;
        send.write_all(&[purpose as u8]).await?;
        Ok((send, receive))
    }

    /// Accepts the next stream that the other side opens.
    ///
    /// # Errors
    ///
    /// Returns an error once the link is broken or closed.
    pub async fn accept(&self) -> io::Result<Streams> {
        let (send, receive) = self.connection.accept_bi().await?;
        Ok(Streams { send, receive })
    }

    /// Waits until the link is broken or closed.
    pub async fn closed(&self) {
        self.connection.closed().await;
    }

    /// Closes the link; streams in flight on it break.
    pub fn close(&self) {
        self.connection.close(0_u32.into(), b"closed");
        if let Some(endpoint) = &self.endpoint {
            endpoint.close(0_u32.into(), b"closed");
        }
    }
}

/// Both directions of a stream that the other side opened.
pub struct Streams {
    send: SendStream,
    receive: RecvStream,
}

impl Streams {
    /// Reads what the stream is for.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream ends at once or its purpose is not known.
    pub async fn read_purpose(&mut self) -> io::Result<Purpose> {
        let mut byte = [0_u8];
        self.receive
            .read_exact(&mut byte)
            .await
            .map_err(io::Error::other)?;
        match byte[0] {
            1 => Ok(Purpose::Control),
            2 => Ok(Purpose::Work),
            other => Err(io::Error::other(format!(
                "stream of unknown purpose {other}"
            ))),
        }
    }

    /// Turns the stream into one that carries an attempt.
    #[must_use]
    pub fn into_work(self) -> (Sender<Reply>, Receiver<Frame>) {
        (Sender::new(self.send), Receiver::new(self.receive))
    }

    /// Serves remote calls until the stream ends.
    pub async fn serve(self, callee: Arc<dyn Handler>) {
        let channel = BaseChannel::with_defaults(transport(self.send, self.receive));
        let calls = channel.execute(Service(callee).serve());
        calls
            .for_each(|call| async {
                tokio::spawn(call);
            })
            .await;
    }
}

/// Carries `tarpc` messages over both directions of a stream.
fn transport<In, Out>(
    send: SendStream,
    receive: RecvStream,
) -> impl Stream<Item = io::Result<In>> + Sink<Out, Error = io::Error>
where
    In: for<'de> serde::Deserialize<'de>,
    Out: serde::Serialize,
{
    let io = tokio::io::join(receive, send);
    let framed = LengthDelimitedCodec::builder().new_framed(io);
    tarpc::serde_transport::new(
        framed,
        tokio_serde::formats::MessagePack::<In, Out>::default(),
    )
}
