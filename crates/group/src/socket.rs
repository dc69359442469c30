use std::{io, net::SocketAddr, time::Duration};

use tokio::{
    net::{ToSocketAddrs, UdpSocket},
    time,
};

use crate::{Datagram, MAX_BYTES};

/// Delay after a datagram could not be received.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// UDP socket for [`Datagram`]s; losses are logged and not repeated.
#[derive(Debug)]
pub struct Socket(UdpSocket);

impl Socket {
    /// Binds a UDP address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn bind(address: impl ToSocketAddrs) -> io::Result<Self> {
        Ok(Self(UdpSocket::bind(address).await?))
    }

    /// Returns the bound address.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system does not report the address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.0.local_addr()
    }

    /// Sends a datagram to each target.
    pub async fn send(&self, datagram: &Datagram, targets: &[SocketAddr]) {
        let bytes = match datagram.encode() {
            Ok(bytes) => bytes,
            Err(reason) => {
                log::warn!(reason = reason; "datagram cannot be encoded");
                return;
            }
        };
        for target in targets {
            if let Err(e) = self.0.send_to(&bytes, target).await {
                log::debug!("datagram to {target} cannot be sent: {e}");
            }
        }
    }

    /// Returns the next datagram and its sender; skips those that cannot be decoded.
    pub async fn receive(&self) -> (Datagram, SocketAddr) {
        let mut buffer = [0; MAX_BYTES];
        loop {
            match self.0.recv_from(&mut buffer).await {
                Ok((length, from)) => match Datagram::decode(&buffer[..length]) {
                    Ok(datagram) => return (datagram, from),
                    Err(reason) => log::debug!("datagram from {from} cannot be decoded: {reason}"),
                },
                Err(e) => {
                    log::debug!("datagram cannot be received: {e}");
                    time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }
}
