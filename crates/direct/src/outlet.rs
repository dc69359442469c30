use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::Mutex,
    time::Duration,
};

use bytes::Bytes;
use conf::id;
use http::{Request, Response, header};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpStream,
    time::{self, Instant},
};
use tokio_util::task::AbortOnDropHandle;

/// Time in which a connection must be set up; one lost opening packet is sent again within it.
const CONNECT: Duration = Duration::from_millis(1200);
/// Time for which a connection may stay idle and be used again, if the endpoint names no other.
const IDLE: Duration = Duration::from_secs(3);
/// Longest such time, whatever the endpoint names; older connections have often gone silent.
const LONGEST_IDLE: Duration = Duration::from_secs(10);
/// Time by which a connection is given up before the endpoint closes it.
const MARGIN: Duration = Duration::from_millis(700);
/// Idle connections that are kept to one endpoint.
const KEPT: usize = 6;

/// Why a request got no answer.
#[derive(Clone, Debug)]
pub(crate) enum Broken {
    /// No byte of the request was sent.
    Unsent(String),
    /// The endpoint may have run the request.
    Unknown(String),
}

/// Connections to endpoints.
///
/// Lock order: `idle` is the only lock and is never held across an await.
#[derive(Default)]
pub(crate) struct Outlet {
    idle: Mutex<HashMap<id::Endpoint, Vec<Link>>>,
}

/// Connection to one endpoint; dropping it closes it at once, which cancels what runs on it.
pub(crate) struct Link {
    sender: SendRequest<Full<Bytes>>,
    _driver: AbortOnDropHandle<()>,
    endpoint: id::Endpoint,
    address: SocketAddr,
    until: Instant,
}

/// Head of an answer with the connection on which its body follows.
pub(crate) struct Opened {
    /// The answer.
    pub(crate) response: Response<Incoming>,
    /// Connection that carries it.
    pub(crate) link: Link,
    /// Whether the connection was set up for this request.
    pub(crate) fresh: bool,
}

impl Outlet {
    /// Sends a request and waits for the head of the answer.
    ///
    /// With `fresh`, no connection is used that carried another request before.
    ///
    /// # Errors
    ///
    /// Returns whether the request may have been run.
    pub(crate) async fn send(
        &self,
        endpoint: &id::Endpoint,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        fresh: bool,
    ) -> Result<Opened, Broken> {
        while let Some(mut link) = self.take(endpoint, address).filter(|_| !fresh) {
            match link.sender.try_send_request(request).await {
                Ok(response) => {
                    return Ok(Opened {
                        response,
                        link,
                        fresh: false,
                    });
                }
                Err(mut e) => match e.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(Broken::Unknown(describe(e.error()))),
                },
            }
        }
        let mut link = connect(endpoint, address).await.map_err(Broken::Unsent)?;
        match link.sender.try_send_request(request).await {
            Ok(response) => Ok(Opened {
                response,
                link,
                fresh: true,
            }),
            Err(mut e) => Err(match e.take_message() {
                Some(_) => Broken::Unsent(describe(e.error())),
                None => Broken::Unknown(describe(e.error())),
            }),
        }
    }

    /// Takes a connection that can be used again.
    fn take(&self, endpoint: &id::Endpoint, address: SocketAddr) -> Option<Link> {
        let now = Instant::now();
        let mut idle = self.idle.lock().ok()?;
        let links = idle.get_mut(endpoint)?;
        links.retain(|link| link.until > now && link.address == address && link.sender.is_ready());
        links.pop()
    }

    /// Lists the endpoints to which a connection is kept.
    pub(crate) fn kept(&self) -> HashSet<id::Endpoint> {
        let now = Instant::now();
        let Ok(idle) = self.idle.lock() else {
            return HashSet::new();
        };
        let usable = |links: &Vec<Link>| links.iter().any(|link| link.until > now);
        let kept = idle.iter().filter(|(_, links)| usable(links));
        kept.map(|(endpoint, _)| endpoint.clone()).collect()
    }

    /// Keeps a connection whose answer has been read to its end.
    pub(crate) fn keep(&self, mut link: Link, keep_alive: Option<Duration>) {
        let span = keep_alive.map_or(IDLE, |span| span.saturating_sub(MARGIN));
        let span = span.min(LONGEST_IDLE);
        link.until = Instant::now() + span;
        let Ok(mut idle) = self.idle.lock() else {
            return;
        };
        let links = idle.entry(link.endpoint.clone()).or_default();
        if links.len() < KEPT && !span.is_zero() && !link.sender.is_closed() {
            links.push(link);
        }
    }

    /// Closes idle connections that are too old or whose endpoint is no longer known.
    pub(crate) fn sweep(&self, known: impl Fn(&id::Endpoint) -> bool) {
        let now = Instant::now();
        let Ok(mut idle) = self.idle.lock() else {
            return;
        };
        idle.retain(|endpoint, links| {
            links.retain(|link| link.until > now && !link.sender.is_closed());
            known(endpoint) && !links.is_empty()
        });
    }
}

async fn connect(endpoint: &id::Endpoint, address: SocketAddr) -> Result<Link, String> {
    let connecting = TcpStream::connect(address);
    let stream = match time::timeout(CONNECT, connecting).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) => return Err(format!("cannot be connected to: {e}")),
        Err(_) => return Err("cannot be connected to in time".to_owned()),
    };
    node::tune(&stream).map_err(|e| format!("socket options: {e}"))?;
    let (sender, connection) = http1::Builder::new()
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|e| describe(&e))?;
    let driver = tokio::spawn(async move {
        if let Err(e) = connection.await {
            log::debug!("a connection to an endpoint ended: {}", describe(&e));
        }
    });
    Ok(Link {
        sender,
        _driver: AbortOnDropHandle::new(driver),
        endpoint: endpoint.clone(),
        address,
        until: Instant::now(),
    })
}

/// Returns an error with its causes.
pub(crate) fn describe(error: &hyper::Error) -> String {
    use std::error::Error as _;
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}

/// Returns the time for which an endpoint keeps an idle connection; zero if it closes it.
pub(crate) fn keep_alive(headers: &http::HeaderMap) -> Option<Duration> {
    let closes = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .any(|value| {
            value
                .split(',')
                .any(|t| t.trim().eq_ignore_ascii_case("close"))
        });
    if closes {
        return Some(Duration::ZERO);
    }
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
