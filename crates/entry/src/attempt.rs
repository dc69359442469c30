use std::{
    net::SocketAddr,
    sync::{Arc, OnceLock},
    time::Duration,
};

use bytes::Bytes;
use fault::{ErrorKind, Fault};
use hyper::body::Incoming;
use node::Links;
use once::{Piece, Verifier};
use tokio::{
    task::JoinHandle,
    time::{self, Instant},
};
use wire::{Attempt, Frame, Head, Receiver, Reply, Request, Sender};

use crate::offer::{self, Admission, Truncation};

/// Time in which an attempt whose stream broke must be resumed over another stream.
const RESUME_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay between two attempts to resume.
const RESUME_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Largest number of consecutive breaks without progress in the body before an attempt fails.
const MAX_CONSECUTIVE_BREAKS: u32 = 8;

/// Body of a request to send to the agent.
pub(crate) struct Upload {
    /// Bytes that were read from the client before.
    pub(crate) buffered: Bytes,
    /// Remainder that is still to be read from the client.
    pub(crate) unread: Option<Incoming>,
    /// Largest length of the body, in bytes.
    pub(crate) limit: u64,
}

/// Stream of an attempt that was started at an agent.
///
/// If it breaks, the attempt is resumed over another stream.
pub(crate) struct Stream {
    links: Links,
    agent: SocketAddr,
    request: Request,
    attempt: Attempt,
    receiver: Receiver<Reply>,
    verifier: Verifier,
    /// Task that sends the request body and returns the sender afterwards.
    upload: Option<JoinHandle<Sender<Frame>>>,
    /// Reason why the request body could not be read from the client, if it could not.
    client_error: Arc<OnceLock<ErrorKind>>,
    /// Sender of the stream over which the attempt was resumed last.
    resumed_sender: Option<Sender<Frame>>,
    consecutive_breaks: u32,
}

impl Stream {
    /// Starts an admitted attempt.
    ///
    /// # Errors
    ///
    /// Returns a fault with `run: no` if the deadline has passed, and one with `run: unknown` if
    /// the link breaks while the message that starts the run is sent.
    pub(crate) async fn start(
        links: Links,
        agent: SocketAddr,
        admission: Admission,
        upload: Upload,
        deadline: Instant,
    ) -> Result<Self, Fault> {
        let Admission {
            mut sender,
            receiver,
            token,
            request,
            attempt,
            ..
        } = admission;
        if let Some(token) = token {
            // This process may have been paused until after the deadline: a run that its client no
            // longer waits for must not start.
            if deadline <= Instant::now() {
                return Err(ErrorKind::DeadlineExpired.into());
            }
            sender
                .send(&Frame::Go { token })
                .await
                .map_err(|_| ErrorKind::Interrupted)?;
        }
        let client_error = Arc::new(OnceLock::new());
        let error = client_error.clone();
        let upload = tokio::spawn(async move {
            let Upload {
                buffered,
                unread,
                limit,
            } = upload;
            let sent = offer::send_body(&mut sender, buffered, unread, limit).await;
            if let Err(truncation) = sent {
                if let Truncation::Client(kind) = truncation {
                    let _ = error.set(kind);
                }
                sender.reset();
            }
            sender
        });
        Ok(Self {
            links,
            agent,
            verifier: Verifier::new(request.clone(), attempt),
            request,
            attempt,
            receiver,
            upload: Some(upload),
            client_error,
            resumed_sender: None,
            consecutive_breaks: 0,
        })
    }

    /// Returns the number of the attempt.
    pub(crate) const fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// Returns the state of the answer that was received so far.
    pub(crate) const fn verifier(&self) -> &Verifier {
        &self.verifier
    }

    /// Receives the head of the answer.
    ///
    /// # Errors
    ///
    /// Returns a fault if the attempt fails, or its answer has no head before its body or end.
    pub(crate) async fn receive_head(&mut self) -> Result<Head, Fault> {
        loop {
            match self.next().await? {
                Piece::Head(head) => return Ok(head),
                Piece::Ignored => {}
                Piece::Data(_) | Piece::End => return Err(ErrorKind::BadAnswer.into()),
            }
        }
    }

    /// Receives the next piece of the answer; resumes the attempt if its stream breaks.
    ///
    /// # Errors
    ///
    /// Returns a fault if the attempt fails, the answer is not valid, or the attempt can't be
    /// resumed.
    pub(crate) async fn next(&mut self) -> Result<Piece, Fault> {
        loop {
            let received = self.receiver.receive().await;
            if let Some(kind) = self.client_error.get() {
                return Err(Fault::new(*kind).run_unknown());
            }
            if let Ok(Some(reply)) = received {
                let piece = self.verifier.accept(reply)?;
                if matches!(piece, Piece::Data(_)) {
                    self.consecutive_breaks = 0;
                }
                return Ok(piece);
            }
            self.resume().await?;
        }
    }

    /// Tries to attach to the run over another stream until it succeeds or the limits are reached.
    async fn resume(&mut self) -> Result<(), Fault> {
        self.consecutive_breaks += 1;
        let timeout_at = Instant::now() + RESUME_TIMEOUT;
        while self.consecutive_breaks <= MAX_CONSECUTIVE_BREAKS && Instant::now() < timeout_at {
            if self.reattach().await.is_some() {
                log::info!(
                    "request {}: answer resumed at byte {} over another stream",
                    self.request,
                    self.verifier.length()
                );
                return Ok(());
            }
            time::sleep(RESUME_RETRY_DELAY).await;
        }
        Err(ErrorKind::Interrupted.into())
    }

    /// Opens a stream that continues the answer after the bytes that were received so far.
    async fn reattach(&mut self) -> Option<()> {
        let link = self.links.get(self.agent)?;
        let (mut sender, receiver) = link.open_work().await.ok()?;
        let resume = Frame::Resume {
            request: self.request.clone(),
            attempt: self.attempt,
            offset: self.verifier.length(),
        };
        sender.send(&resume).await.ok()?;
        self.receiver = receiver;
        self.resumed_sender = Some(sender);
        Some(())
    }

    /// Tells the agent that the rest of the answer is no longer needed.
    pub(crate) async fn cancel(mut self) {
        let sender = match (self.resumed_sender.take(), self.upload.take()) {
            (Some(sender), _) => Some(sender),
            (None, Some(upload)) => upload.await.ok(),
            (None, None) => None,
        };
        if let Some(mut sender) = sender {
            let _ = sender.send(&Frame::Cancel).await;
        }
    }
}
