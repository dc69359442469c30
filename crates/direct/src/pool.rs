use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::Mutex,
    time::Duration,
};

use conf::id;
use http::{Request, Response, header};
use hyper::{
    body::Incoming,
    client::conn::{
        TrySendError,
        http1::{self, SendRequest},
    },
};
use hyper_util::rt::TokioIo;
use payload::{Meter, Metered, Outgoing};
use tokio::time::{self, Instant};
use tokio_util::task::AbortOnDropHandle;

/// Time limit for setting up a connection; it leaves time to retransmit one lost SYN packet.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1200);
/// Time limit for setting up a connection that only shows whether an endpoint is alive.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which such a connection must stay open.
const PROBE_OPEN_TIME: Duration = Duration::from_millis(50);
/// Time for which an idle connection may be reused if the endpoint states no keep-alive timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest time for which an idle connection may be reused, whatever the endpoint states; connections
/// that were idle for longer have often stopped responding without being closed.
pub(crate) const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time by which a connection is discarded before the endpoint closes it.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);
/// Largest head of a response in bytes; a connection with a larger one is closed.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Maximum number of idle connections to one endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 6;

/// Reason why a request got no response.
#[derive(Clone, Debug)]
pub(crate) enum Error {
    /// No byte of the request was sent.
    NotSent(String),
    /// The request was sent, so that the endpoint may have run it.
    MaybeRun(String),
}

/// Body of a response, whose frames count as progress of its connection.
pub(crate) type Body = Metered<Incoming>;

/// Pool of idle connections to endpoints.
///
/// Lock order: `idle` is the only lock and is never held across an await.
#[derive(Default)]
pub(crate) struct Pool {
    idle: Mutex<HashMap<id::Endpoint, Vec<Connection>>>,
}

/// Connection to one endpoint; dropping it closes it at once, which cancels a request on it.
pub(crate) struct Connection {
    sender: SendRequest<Outgoing>,
    _driver: AbortOnDropHandle<()>,
    meter: Meter,
    endpoint: id::Endpoint,
    address: SocketAddr,
    opened_at: Instant,
    /// Time until which the idle connection may be reused.
    reusable_until: Instant,
}

/// Response whose body is still to be read, with the connection that carries it.
pub(crate) struct Received {
    /// Response with the unread body.
    pub(crate) response: Response<Body>,
    /// Connection that carries the response.
    pub(crate) connection: Connection,
    /// Whether the connection was set up for this request.
    pub(crate) is_new: bool,
}

impl Connection {
    /// Sends a request and waits for the head of the response.
    async fn exchange(
        &mut self,
        request: Request<Outgoing>,
    ) -> Result<Response<Body>, TrySendError<Request<Outgoing>>> {
        self.meter.record_part();
        let response = self.sender.try_send_request(request).await?;
        self.meter.record_part();
        Ok(response.map(|body| self.meter.wrap(body)))
    }

    /// Returns the time at which the connection was set up.
    pub(crate) const fn opened_at(&self) -> Instant {
        self.opened_at
    }
}

impl Pool {
    /// Sends a request and waits for the head of the response.
    ///
    /// With `force_new`, the request gets a new connection rather than an idle one.
    ///
    /// # Errors
    ///
    /// Returns an error that states whether the endpoint may have run the request.
    pub(crate) async fn send(
        &self,
        endpoint: &id::Endpoint,
        address: SocketAddr,
        mut request: Request<Outgoing>,
        force_new: bool,
    ) -> Result<Received, Error> {
        while let Some(mut connection) = self.take(endpoint, address).filter(|_| !force_new) {
            match connection.exchange(request).await {
                Ok(response) => {
                    return Ok(Received {
                        response,
                        connection,
                        is_new: false,
                    });
                }
                Err(mut e) => match e.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(Error::MaybeRun(format_error(e.error()))),
                },
            }
        }
        let mut connection = connect(endpoint, address).await.map_err(Error::NotSent)?;
        match connection.exchange(request).await {
            Ok(response) => Ok(Received {
                response,
                connection,
                is_new: true,
            }),
            Err(mut e) => Err(match e.take_message() {
                Some(_) => Error::NotSent(format_error(e.error())),
                None => Error::MaybeRun(format_error(e.error())),
            }),
        }
    }

    /// Returns whether an endpoint keeps a new connection open; one whose process has ended refuses, resets or ignores it.
    pub(crate) async fn is_alive(&self, address: SocketAddr) -> bool {
        let Ok(Ok(stream)) = time::timeout(PROBE_TIMEOUT, quota::connect(address)).await else {
            return false;
        };
        // A connection that a process accepts no more may be set up while it ends.
        let closed = time::timeout(PROBE_OPEN_TIME, stream.readable()).await;
        closed.is_err()
    }

    /// Removes and returns an idle connection that can be reused.
    fn take(&self, endpoint: &id::Endpoint, address: SocketAddr) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.lock().ok()?;
        let connections = idle.get_mut(endpoint)?;
        connections.retain(|connection| {
            connection.reusable_until > now
                && connection.address == address
                && connection.sender.is_ready()
        });
        connections.pop()
    }

    /// Lists the endpoints with an idle connection.
    pub(crate) fn connected_endpoints(&self) -> HashSet<id::Endpoint> {
        let now = Instant::now();
        let Ok(idle) = self.idle.lock() else {
            return HashSet::new();
        };
        let usable = |connections: &Vec<Connection>| {
            connections
                .iter()
                .any(|connection| connection.reusable_until > now)
        };
        let connected = idle.iter().filter(|(_, connections)| usable(connections));
        connected.map(|(endpoint, _)| endpoint.clone()).collect()
    }

    /// Returns a connection to the pool after the response was read to its end.
    pub(crate) fn put(&self, mut connection: Connection, keep_alive: Option<Duration>) {
        let idle_timeout = keep_alive.map_or(DEFAULT_IDLE_TIMEOUT, |timeout| {
            timeout.saturating_sub(KEEP_ALIVE_MARGIN)
        });
        let idle_timeout = idle_timeout.min(MAX_IDLE_TIMEOUT);
        connection.reusable_until = Instant::now() + idle_timeout;
        let Ok(mut idle) = self.idle.lock() else {
            return;
        };
        let connections = idle.entry(connection.endpoint.clone()).or_default();
        if connections.len() < MAX_IDLE_PER_ENDPOINT
            && !idle_timeout.is_zero()
            && !connection.sender.is_closed()
        {
            connections.push(connection);
        }
    }

    /// Closes the idle connections that have expired or whose endpoint is not available.
    pub(crate) fn sweep(&self, is_available: impl Fn(&id::Endpoint) -> bool) {
        let now = Instant::now();
        let Ok(mut idle) = self.idle.lock() else {
            return;
        };
        idle.retain(|endpoint, connections| {
            connections.retain(|connection| {
                connection.reusable_until > now && !connection.sender.is_closed()
            });
            is_available(endpoint) && !connections.is_empty()
        });
    }
}

async fn connect(endpoint: &id::Endpoint, address: SocketAddr) -> Result<Connection, String> {
    let connecting = quota::connect(address);
    let stream = match time::timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) => return Err(format!("connection failed: {e}")),
        Err(_) => return Err("connection timed out".to_owned()),
    };
    node::configure_socket(&stream).map_err(|e| format!("socket options cannot be set: {e}"))?;
    let meter = Meter::default();
    let (sender, io) = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(TokioIo::new(meter.wrap(stream)))
        .await
        .map_err(|e| format_error(&e))?;
    let driver = tokio::spawn(async move {
        if let Err(e) = io.await {
            log::debug!("connection to an endpoint failed: {}", format_error(&e));
        }
    });
    Ok(Connection {
        sender,
        _driver: AbortOnDropHandle::new(driver),
        meter,
        endpoint: endpoint.clone(),
        address,
        opened_at: Instant::now(),
        reusable_until: Instant::now(),
    })
}

/// Formats an error with its causes.
pub(crate) fn format_error(error: &hyper::Error) -> String {
    use std::error::Error as _;
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}

/// Returns the keep-alive timeout that an endpoint states, zero if it closes the connection, or `None`
/// if it states neither.
pub(crate) fn keep_alive(headers: &http::HeaderMap) -> Option<Duration> {
    let is_closing = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .any(|value| {
            value
                .split(',')
                .any(|token| token.trim().eq_ignore_ascii_case("close"))
        });
    if is_closing {
        return Some(Duration::ZERO);
    }
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
