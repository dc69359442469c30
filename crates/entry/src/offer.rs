use std::{io, time::Duration};

use bytes::Bytes;
use conf::id;
use fault::{ErrorKind, Fault};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use smol_str::SmolStr;
use tokio::time;
use wire::{
    Attempt, CHUNK_LIMIT, Frame, Hint, Link, Offer, Receiver, Reply, Request, Sender, Token,
    Verdict,
};

use crate::prefix::PATIENCE;

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
    /// Id of the request.
    pub(crate) request: Request,
    /// Number of the attempt.
    pub(crate) attempt: Attempt,
    /// Idempotency key of the attempt, if it may not be repeated.
    pub(crate) key: Option<SmolStr>,
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
/// Without an answer an attempt with a key was not run, because it starts only with a
/// [`Frame::Go`]; its stream is dropped here, which withdraws it. One without a key may have been.
pub(crate) async fn offer(
    link: &Link,
    offer: Offer,
    queue_time: Duration,
) -> Result<Admitted, Refused> {
    let lost = |_: io::Error| Refused::from(Fault::new(ErrorKind::NoEndpoint));
    let (mut sender, mut receiver) = link.open_work().await.map_err(lost)?;
    let (request, attempt) = (offer.request.clone(), offer.attempt);
    let key = offer.key.as_ref().map(|key| key.text.clone());
    let unanswered = || {
        let fault = Fault::new(ErrorKind::NoEndpoint);
        Refused::from(match key {
            Some(_) => fault,
            None => fault.run_unknown(),
        })
    };
    sender
        .send(&Frame::Offer(Box::new(offer)))
        .await
        .map_err(|_| unanswered())?;
    let answer = time::timeout(ANSWER + queue_time, receiver.receive()).await;
    match answer {
        Ok(Ok(Some(Reply::Verdict(Verdict::Admitted { token, hint })))) => Ok(Admitted {
            sender,
            receiver,
            token,
            hint,
            request,
            attempt,
            key,
        }),
        Ok(Ok(Some(Reply::Verdict(Verdict::Refused { fault, hint })))) => Err(Refused {
            fault,
            hint: Some(hint),
        }),
        _ => Err(unanswered()),
    }
}

/// Sends the request body: first the bytes that were kept, then what the caller still sends.
///
/// # Errors
///
/// Returns an error if the stream breaks, the caller is gone or slow, or the body is larger than
/// `limit`.
pub(crate) async fn send_body(
    sender: &mut Sender<Frame>,
    first: Bytes,
    rest: Option<Incoming>,
    limit: u64,
) -> Result<(), Cut> {
    let mut length = send_bytes(sender, first).await?;
    if let Some(mut body) = rest {
        while let Some(data) = next_bytes(&mut body).await? {
            length += data.len() as u64;
            if length > limit {
                return Err(Cut::Caller(ErrorKind::TooLarge));
            }
            send_bytes(sender, data).await?;
        }
    }
    sender.send(&Frame::End { length }).await?;
    Ok(())
}

/// Reads the next bytes that the caller sends; `None` at the end of the body.
async fn next_bytes(body: &mut Incoming) -> Result<Option<Bytes>, Cut> {
    loop {
        let frame = time::timeout(PATIENCE, body.frame()).await;
        match frame.map_err(|_| Cut::Caller(ErrorKind::SlowCaller))? {
            None => return Ok(None),
            Some(Err(_)) => return Err(Cut::Caller(ErrorKind::Malformed)),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    return Ok(Some(data));
                }
            }
        }
    }
}

/// Says why a request body did not get through whole.
pub(crate) enum Cut {
    /// The caller is at fault.
    Caller(ErrorKind),
    /// The stream to the agent broke.
    Link,
}

impl From<io::Error> for Cut {
    fn from(_: io::Error) -> Self {
        Self::Link
    }
}

async fn send_bytes(sender: &mut Sender<Frame>, bytes: Bytes) -> io::Result<u64> {
    let length = bytes.len() as u64;
    let mut left = bytes;
    while !left.is_empty() {
        let data = left.split_to(left.len().min(CHUNK_LIMIT));
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
