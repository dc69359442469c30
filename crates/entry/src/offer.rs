use std::{io, time::Duration};

use bytes::Bytes;
use conf::id;
use fault::{ErrorKind, Fault};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use tokio::time;
use wire::{CHUNK, Frame, Hint, Link, Offer, Receiver, Reply, Sender, Token, Verdict};

/// Time in which an agent must answer an offer, beyond the time that work may queue.
const ANSWER: Duration = Duration::from_secs(2);

/// Attempt that an agent has admitted.
pub(crate) struct Admitted {
    /// Towards the agent.
    pub(crate) sender: Sender<Frame>,
    /// From the agent.
    pub(crate) receiver: Receiver<Reply>,
    /// Token of the reservation, if there is one.
    pub(crate) token: Option<Token>,
    /// Load of the endpoint.
    pub(crate) hint: Hint,
}

/// Why an offer was not admitted.
pub(crate) struct Refused {
    /// The refusal.
    pub(crate) fault: Fault,
    /// Load of the endpoint, if it answered.
    pub(crate) hint: Option<Hint>,
}

impl From<Fault> for Refused {
    fn from(fault: Fault) -> Self {
        Self { fault, hint: None }
    }
}

/// Offers an attempt to the agent at the other end of a link.
///
/// Without an answer the attempt may have been admitted, but it was not run if it needs a
/// [`Frame::Go`], and an attempt without one is only made for requests that may be repeated; its
/// stream is dropped here, which withdraws it.
pub(crate) async fn offer(
    link: &Link,
    offer: Offer,
    queue_time: Duration,
) -> Result<Admitted, Refused> {
    let lost = |_: io::Error| Refused::from(Fault::new(ErrorKind::NoEndpoint));
    let (mut sender, mut receiver) = link.work().await.map_err(lost)?;
    sender
        .send(&Frame::Offer(Box::new(offer)))
        .await
        .map_err(lost)?;
    let answer = time::timeout(ANSWER + queue_time, receiver.receive()).await;
    let reply = answer
        .map_err(|_| Fault::new(ErrorKind::NoEndpoint))?
        .map_err(lost)?;
    match reply {
        Some(Reply::Verdict(Verdict::Admitted { token, hint })) => Ok(Admitted {
            sender,
            receiver,
            token,
            hint,
        }),
        Some(Reply::Verdict(Verdict::Refused { fault, hint })) => Err(Refused {
            fault,
            hint: Some(hint),
        }),
        Some(_) | None => Err(Fault::new(ErrorKind::NoEndpoint).into()),
    }
}

/// Sends the request body: first the bytes that were kept, then what the caller still sends.
///
/// # Errors
///
/// Returns an error if the stream breaks, the caller is gone, or the body is larger than `limit`.
pub(crate) async fn send_body(
    sender: &mut Sender<Frame>,
    first: Bytes,
    rest: Option<Incoming>,
    limit: u64,
) -> io::Result<()> {
    let mut length = send_bytes(sender, first).await?;
    if let Some(mut body) = rest {
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(io::Error::other)?.into_data() else {
                continue;
            };
            length += send_bytes(sender, data).await?;
            if length > limit {
                return Err(io::Error::other("the body is larger than the limit"));
            }
        }
    }
    sender.send(&Frame::End { length }).await
}

async fn send_bytes(sender: &mut Sender<Frame>, bytes: Bytes) -> io::Result<u64> {
    let length = bytes.len() as u64;
    let mut left = bytes;
    while !left.is_empty() {
        let data = left.split_to(left.len().min(CHUNK));
        sender.send(&Frame::Body { data }).await?;
    }
    Ok(length)
}

/// Address of the agent beside an endpoint.
pub(crate) fn agent(
    document: &conf::Document,
    endpoint: &id::Endpoint,
) -> Option<std::net::SocketAddr> {
    document.endpoints.get(endpoint).map(|e| e.agent)
}
