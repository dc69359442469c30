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

/// Content of a stream, encoded as its first byte.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum Purpose {
    /// `tarpc` calls of [`crate::Control`].
    Control = 1,
    /// One attempt at one request, as [`Frame`]s and [`Reply`]s.
    Work = 2,
}

/// UDP socket on which a process accepts links.
pub struct Listener {
    endpoint: Endpoint,
}

impl Listener {
    /// Binds a UDP address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn bind(address: SocketAddr, tls: &Tls) -> io::Result<Self> {
        let endpoint = Endpoint::server(tls.server.clone(), address)?;
        Ok(Self { endpoint })
    }

    /// Returns the bound address, with the port that the system chose if the port was 0.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system does not report the address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.endpoint.local_addr()
    }

    /// Accepts the next link; returns `None` once the listener is closed.
    ///
    /// Failed handshakes are logged and skipped.
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
                Err(e) => log::debug!("handshake of an incoming link failed: {e}"),
            }
        }
    }
}

/// QUIC connection to another process.
#[derive(Clone)]
pub struct Link {
    connection: Connection,
    /// QUIC endpoint of an outgoing link, which must live as long as the link. Each outgoing link
    /// has its own UDP port: where a device on the path has lost its state for a flow, it also drops
    /// new connections with the same addresses and ports.
    endpoint: Option<Endpoint>,
}

impl Link {
    /// Connects to another process from a new local port.
    ///
    /// # Errors
    ///
    /// Returns an error if no local port is free, the peer cannot be reached or its certificate is
    /// not valid.
    pub async fn connect(address: SocketAddr, tls: &Tls) -> anyhow::Result<Self> {
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

    /// Returns the address of the peer.
    #[must_use]
    pub fn remote_address(&self) -> SocketAddr {
        self.connection.remote_address()
    }

    /// Returns the UDP payload bytes that the link has sent and received, including QUIC headers.
    #[must_use]
    pub fn traffic(&self) -> u64 {
        let stats = self.connection.stats();
        stats.udp_tx.bytes + stats.udp_rx.bytes
    }

    /// Opens a [`Purpose::Work`] stream for one attempt.
    ///
    /// # Errors
    ///
    /// Returns an error if the link is broken.
    pub async fn open_work(&self) -> io::Result<(Sender<Frame>, Receiver<Reply>)> {
        let (send, receive) = self.open(Purpose::Work).await?;
        Ok((Sender::new(send), Receiver::new(receive)))
    }

    /// Opens a [`Purpose::Control`] stream for remote calls to the peer, and spawns the task that
    /// sends them.
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

    /// Accepts the next stream that the peer opens.
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

    /// Closes the link and aborts its open streams.
    pub fn close(&self) {
        self.connection.close(0_u32.into(), b"closed");
        if let Some(endpoint) = &self.endpoint {
            endpoint.close(0_u32.into(), b"closed");
        }
    }
}

/// Both halves of a stream that the peer opened.
pub struct Streams {
    send: SendStream,
    receive: RecvStream,
}

impl Streams {
    /// Reads the purpose, the first byte of the stream.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream breaks or ends before its first byte, or the byte is unknown.
    pub async fn read_purpose(&mut self) -> io::Result<Purpose> {
        let mut byte = [0_u8];
        self.receive
            .read_exact(&mut byte)
            .await
            .map_err(io::Error::other)?;
        match byte[0] {
            1 => Ok(Purpose::Control),
            2 => Ok(Purpose::Work),
            other => Err(io::Error::other(format!("unknown stream purpose {other}"))),
        }
    }

    /// Converts a [`Purpose::Work`] stream into its sender and receiver.
    #[must_use]
    pub fn into_work(self) -> (Sender<Reply>, Receiver<Frame>) {
        (Sender::new(self.send), Receiver::new(self.receive))
    }

    /// Serves remote calls on a [`Purpose::Control`] stream until it ends.
    pub async fn serve(self, handler: Arc<dyn Handler>) {
        let channel = BaseChannel::with_defaults(transport(self.send, self.receive));
        let calls = channel.execute(Service(handler).serve());
        calls
            .for_each(|call| async {
                tokio::spawn(call);
            })
            .await;
    }
}

/// Creates a `tarpc` transport of length-delimited MessagePack messages over a stream.
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
