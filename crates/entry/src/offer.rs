use std::{io, time::Duration};

use bytes::Bytes;
use conf::id;
use fault::{ErrorKind, Fault};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use payload::Allowance;
use smol_str::SmolStr;
use tokio::time;
use wire::{
    Attempt, CHUNK_LIMIT, Frame, Hint, Link, Offer, Receiver, Reply, Request, Sender, Token,
    Verdict,
};

use crate::prefix::READ_TIMEOUT;

/// Time in which an agent must answer an offer, beyond the time that an attempt may wait in the
/// agent's queue.
const VERDICT_TIMEOUT: Duration = Duration::from_secs(2);

/// Attempt that an agent has admitted, with the stream to that agent.
pub(crate) struct Admission {
    /// Sends to the agent.
    pub(crate) sender: Sender<Frame>,
    /// Receives from the agent.
    pub(crate) receiver: Receiver<Reply>,
    /// Token that starts the run; `None` if the attempt has no key and starts without one.
    pub(crate) token: Option<Token>,
    /// Load that the agent reported with its verdict.
    pub(crate) hint: Hint,
    /// Id of the request.
    pub(crate) request: Request,
    /// Number of the attempt, from 1.
    pub(crate) attempt: Attempt,
    /// Idempotency key of the attempt; `None` if the request is repeatable.
    pub(crate) key: Option<SmolStr>,
}

/// Refusal of an offer, or failure to get an answer to it.
pub(crate) struct Refusal {
    /// Reason; also says whether the request was run.
    pub(crate) fault: Fault,
    /// Load that the agent reported; `None` if it did not answer.
    pub(crate) hint: Option<Hint>,
}

impl From<Fault> for Refusal {
    fn from(fault: Fault) -> Self {
        Self { fault, hint: None }
    }
}

/// Offers an attempt to the agent at the other end of a link.
///
/// If the agent does not answer, an attempt with a key was not run, because it starts only after
/// [`Frame::Go`], and dropping its stream here withdraws the offer. An attempt without a key may
/// have been run.
///
/// # Errors
///
/// Returns the agent's refusal, or a fault if the link breaks or the agent does not answer in time.
pub(crate) async fn offer(
    link: &Link,
    offer: Offer,
    queue_time: Duration,
) -> Result<Admission, Refusal> {
    let no_stream = |_: io::Error| Refusal::from(Fault::new(ErrorKind::NoEndpoint));
    let (mut sender, mut receiver) = link.open_work().await.map_err(no_stream)?;
    let (request, attempt) = (offer.request.clone(), offer.attempt);
    let key = offer.key.as_ref().map(|key| key.text.clone());
    let no_verdict = || {
        let fault = Fault::new(ErrorKind::NoEndpoint);
        Refusal::from(match key {
            Some(_) => fault,
            None => fault.run_unknown(),
        })
    };
    sender
        .send(&Frame::Offer(Box::new(offer)))
        .await
        .map_err(|_| no_verdict())?;
    let reply = time::timeout(VERDICT_TIMEOUT + queue_time, receiver.receive()).await;
    match reply {
        Ok(Ok(Some(Reply::Verdict(Verdict::Admitted { token, hint })))) => Ok(Admission {
            sender,
            receiver,
            token,
            hint,
            request,
            attempt,
            key,
        }),
        Ok(Ok(Some(Reply::Verdict(Verdict::Refused { fault, hint })))) => Err(Refusal {
            fault,
            hint: Some(hint),
        }),
        _ => Err(no_verdict()),
    }
}

/// Sends the request body: first the buffered bytes, then what is still to be read from the client.
///
/// # Errors
///
/// Returns an error if the stream to the agent breaks, the body can't be read from the client in
/// time, or it is longer than `limit` bytes or in more frames than [`Allowance`] permits.
pub(crate) async fn send_body(
    sender: &mut Sender<Frame>,
    buffered: Bytes,
    unread: Option<Incoming>,
    limit: u64,
) -> Result<(), Truncation> {
    let mut length = send_bytes(sender, buffered).await?;
    if let Some(mut body) = unread {
        let unread = usize::try_from(limit.saturating_sub(length)).unwrap_or(usize::MAX);
        let mut allowance = Allowance::new(unread);
        while let Some(data) = read_chunk(&mut body).await? {
            length += data.len() as u64;
            allowance
                .take(data.len())
                .map_err(|_| Truncation::Client(ErrorKind::TooLarge))?;
            send_bytes(sender, data).await?;
        }
    }
    sender.send(&Frame::End { length }).await?;
    Ok(())
}

/// Reads the next chunk from the client; returns `None` at the end of the body.
async fn read_chunk(body: &mut Incoming) -> Result<Option<Bytes>, Truncation> {
    loop {
        let frame = time::timeout(READ_TIMEOUT, body.frame()).await;
        match frame.map_err(|_| Truncation::Client(ErrorKind::SlowClient))? {
            None => return Ok(None),
            Some(Err(_)) => return Err(Truncation::Client(ErrorKind::Malformed)),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    return Ok(Some(data));
                }
            }
        }
    }
}

/// Reason why a request body was not sent completely.
pub(crate) enum Truncation {
    /// The body could not be read from the client, or was too large.
    Client(ErrorKind),
    /// The stream to the agent broke.
    Link,
}

impl From<io::Error> for Truncation {
    fn from(_: io::Error) -> Self {
        Self::Link
    }
}

async fn send_bytes(sender: &mut Sender<Frame>, bytes: Bytes) -> io::Result<u64> {
    let length = bytes.len() as u64;
    let mut remaining = bytes;
    while !remaining.is_empty() {
        let data = remaining.split_to(remaining.len().min(CHUNK_LIMIT));
        sender.send(&Frame::Body { data }).await?;
    }
    Ok(length)
}

/// Returns the address of the agent of an endpoint.
pub(crate) fn agent_address(
    document: &conf::Document,
    endpoint: &id::Endpoint,
) -> Option<std::net::SocketAddr> {
    document.endpoints.get(endpoint).map(|e| e.agent)
}
