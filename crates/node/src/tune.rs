use std::{io, time::Duration};

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Time after which bytes that the other side does not acknowledge break the connection.
const UNACKNOWLEDGED: Duration = Duration::from_millis(2000);
/// Silence before the first probe of a connection, and between probes.
const PROBE: Duration = Duration::from_secs(1);
/// Probes without an answer that break a connection.
const PROBES: u32 = 2;

/// Sets a socket so that a path that went silent is noticed.
///
/// # Errors
///
/// Returns an error if the system refuses an option.
pub fn tune(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE)
        .with_interval(PROBE)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)
}
