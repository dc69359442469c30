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

use crate::offer::{self, Admitted, Cut};

/// Time in which a broken attempt must be found again over another link.
const RESUME: Duration = Duration::from_secs(5);
/// Pause between two tries.
const PAUSE: Duration = Duration::from_millis(50);
/// Breaks in a row without a byte of progress after which an attempt is given up.
const BREAKS: u32 = 8;

/// Body of a request on its way to the agent.
pub(crate) struct Upload {
    /// Bytes that were kept.
    pub(crate) first: Bytes,
    /// What the caller still sends.
    pub(crate) rest: Option<Incoming>,
    /// Largest body in bytes.
    pub(crate) limit: u64,
}

/// Attempt that was started at an agent.
pub(crate) struct Stream {
    links: Links,
    agent: SocketAddr,
    request: Request,
    attempt: Attempt,
    receiver: Receiver<Reply>,
    delivery: Verifier,
    upload: Option<JoinHandle<Sender<Frame>>>,
    /// Why the caller's own body was cut, if it was.
    fault: Arc<OnceLock<ErrorKind>>,
    control: Option<Sender<Frame>>,
    breaks: u32,
}

impl Stream {
    /// Starts an admitted attempt.
    ///
    /// # Errors
    ///
    /// Returns a fault that says `run: no` if the deadline has passed, and `unknown` once the
    /// message that starts the run was handed to the link.
    pub(crate) async fn start(
        links: Links,
        agent: SocketAddr,
        admitted: Admitted,
        upload: Upload,
        deadline: Instant,
    ) -> Result<Self, Fault> {
        let Admitted {
            mut sender,
            receiver,
            token,
            request,
            attempt,
            ..
        } = admitted;
        if let Some(token) = token {
            // A process that was paused must not start what its caller no longer waits for.
            if deadline <= Instant::now() {
                return Err(ErrorKind::DeadlineExpired.into());
            }
            sender
                .send(&Frame::Go { token })
                .await
                .map_err(|_| ErrorKind::Interrupted)?;
        }
        let fault = Arc::new(OnceLock::new());
        let blame = fault.clone();
        let upload = tokio::spawn(async move {
            let Upload { first, rest, limit } = upload;
            let sent = offer::send_body(&mut sender, first, rest, limit).await;
            if let Err(cut) = sent {
                if let Cut::Caller(kind) = cut {
                    let _ = blame.set(kind);
                }
                sender.reset();
            }
            sender
        });
        Ok(Self {
            links,
            agent,
            delivery: Verifier::new(request.clone(), attempt),
            request,
            attempt,
            receiver,
            upload: Some(upload),
            fault,
            control: None,
            breaks: 0,
        })
    }

    /// Returns the number of the attempt.
    pub(crate) const fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// Returns the check of the answer.
    pub(crate) const fn delivery(&self) -> &Verifier {
        &self.delivery
    }

    /// Reads the head of the answer.
    ///
    /// # Errors
    ///
    /// Returns a fault if the answer ends or breaks before its head.
    pub(crate) async fn head(&mut self) -> Result<Head, Fault> {
        loop {
            match self.next().await? {
                Piece::Head(head) => return Ok(head),
                Piece::Ignored => {}
                Piece::Data(_) | Piece::End => return Err(ErrorKind::BadAnswer.into()),
            }
        }
    }

    /// Reads the next piece of the answer, over another link if this one breaks.
    ///
    /// # Errors
    ///
    /// Returns a fault if the answer ends early or cannot be found again.
    pub(crate) async fn next(&mut self) -> Result<Piece, Fault> {
        loop {
            let received = self.receiver.receive().await;
            if let Some(kind) = self.fault.get() {
                return Err(Fault::new(*kind).run_unknown());
            }
            if let Ok(Some(reply)) = received {
                let piece = self.delivery.accept(reply)?;
                if matches!(piece, Piece::Data(_)) {
                    self.breaks = 0;
                }
                return Ok(piece);
            }
            self.resume().await?;
        }
    }

    /// Attaches to the run again, at the offset up to which the answer is here.
    async fn resume(&mut self) -> Result<(), Fault> {
        self.breaks += 1;
        let end = Instant::now() + RESUME;
        while self.breaks <= BREAKS && Instant::now() < end {
            if self.reattach().await.is_some() {
                log::info!(
                    "request {}: goes on at byte {} over another stream",
                    self.request,
                    self.delivery.length()
                );
                return Ok(());
            }
            time::sleep(PAUSE).await;
        }
        Err(ErrorKind::Interrupted.into())
    }

    async fn reattach(&mut self) -> Option<()> {
        let link = self.links.get(self.agent)?;
        let (mut sender, receiver) = link.open_work().await.ok()?;
        let resume = Frame::Resume {
            request: self.request.clone(),
            attempt: self.attempt,
            offset: self.delivery.length(),
        };
        sender.send(&resume).await.ok()?;
        self.receiver = receiver;
        self.control = Some(sender);
        Some(())
    }

    /// Tells the agent that nobody wants the rest.
    pub(crate) async fn cancel(mut self) {
        let sender = match (self.control.take(), self.upload.take()) {
            (Some(sender), _) => Some(sender),
            (None, Some(upload)) => upload.await.ok(),
            (None, None) => None,
        };
        if let Some(mut sender) = sender {
            let _ = sender.send(&Frame::Cancel).await;
        }
    }
}
