use std::{
    io,
    sync::{Arc, Mutex},
};

use bytes::Bytes;
use conf::id;
use event::{Kind, Recorder};
use fault::{ErrorKind, Fault};
use futures::future::BoxFuture;
use gate::Ask;
use node::{Shutdown, Work};
use once::{Answer, Delivery, Ledger, Reserve, Reserved};
use tokio::{
    sync::mpsc,
    time::{self, Instant},
};
use wire::{CHUNK, Frame, Head, Offer, Receiver, Reply, Sender, Token, Verdict};

use crate::{
    admit::{Gatekeeper, Slot},
    engine::Engine,
    metrics::Metrics,
    run::Run,
};

/// Messages of an answer that wait for the entry to read them.
const WAITING: usize = 4;

/// Serves the attempts that entries offer.
///
/// Lock order: `ledger` is never held across an await, nor while the gatekeeper is told anything.
#[derive(Clone)]
pub(crate) struct Server {
    pub(crate) endpoint: id::Endpoint,
    pub(crate) gatekeeper: Gatekeeper,
    pub(crate) ledger: Arc<Mutex<Box<dyn Ledger>>>,
    pub(crate) engine: Engine,
    pub(crate) recorder: Recorder,
    pub(crate) metrics: Metrics,
    pub(crate) shutdown: Shutdown,
}

/// What the reserve stage found.
enum Reservation {
    /// The attempt may be repeated and starts at once.
    None,
    /// The attempt starts when the token comes back.
    Token(Token),
    /// The attempt was run before.
    Replay(Arc<Answer>),
}

impl Work for Server {
    fn work(&self, sender: Sender<Reply>, receiver: Receiver<Frame>) -> BoxFuture<'static, ()> {
        let server = self.clone();
        let tracker = self.shutdown.in_flight().clone();
        Box::pin(tracker.track_future(async move {
            if let Err(e) = server.serve(sender, receiver).await {
                log::debug!("a work stream ended early: {e}");
            }
        }))
    }
}

impl Server {
    async fn serve(
        self,
        mut sender: Sender<Reply>,
        mut receiver: Receiver<Frame>,
    ) -> io::Result<()> {
        let Some(Frame::Offer(offer)) = receiver.receive().await? else {
            return Err(io::Error::other("the first message is not an offer"));
        };
        let deadline = Instant::now() + offer.time_left;
        self.recorder.observe(offer.stamp);
        let slot = tokio::select! {
            slot = self.gatekeeper.admit(ask(&offer, deadline)) => slot,
            _ = receiver.receive() => return Ok(()),
        };
        let slot = match slot {
            Ok(slot) => slot,
            Err(fault) => return self.refuse(&mut sender, &offer, fault).await,
        };
        match self.reserve(&offer) {
            Ok(Reservation::None) => {
                self.admit(&mut sender, None).await?;
                self.run(sender, receiver, *offer, deadline, slot).await
            }
            Ok(Reservation::Token(token)) => {
                let started = self
                    .await_go(&mut sender, &mut receiver, &offer, token)
                    .await?;
                if started {
                    self.run(sender, receiver, *offer, deadline, slot).await
                } else {
                    Ok(())
                }
            }
            Ok(Reservation::Replay(answer)) => {
                drop(slot);
                let token = Some(Token::default());
                self.admit(&mut sender, token).await?;
                replay(&mut sender, &offer, &answer).await
            }
            Err(fault) => self.refuse(&mut sender, &offer, fault).await,
        }
    }

    /// Reserve stage: makes a record for an attempt that may not be repeated.
    fn reserve(&self, offer: &Offer) -> Result<Reservation, Fault> {
        let Some(key) = &offer.key else {
            return Ok(Reservation::None);
        };
        let reserve = Reserve {
            key: key.clone(),
            request: offer.request.clone(),
            attempt: offer.attempt,
            fingerprint: offer.fingerprint,
        };
        let mut ledger = self.ledger.lock().map_err(|_| ErrorKind::Internal)?;
        match ledger.reserve(reserve, Instant::now()) {
            Reserved::Token(token) => Ok(Reservation::Token(token)),
            Reserved::Replay(answer) => Ok(Reservation::Replay(answer)),
            Reserved::Refused(fault) => Err(fault),
        }
    }

    async fn admit(&self, sender: &mut Sender<Reply>, token: Option<Token>) -> io::Result<()> {
        let verdict = Verdict::Admitted {
            token,
            hint: self.gatekeeper.hint(),
        };
        sender.send(&Reply::Verdict(verdict)).await
    }

    async fn refuse(
        &self,
        sender: &mut Sender<Reply>,
        offer: &Offer,
        fault: Fault,
    ) -> io::Result<()> {
        self.metrics.refused(&fault);
        self.recorder.record(
            Some(&offer.request),
            Kind::Refusal {
                kind: fault.kind().name().into(),
            },
        );
        let verdict = Verdict::Refused {
            fault,
            hint: self.gatekeeper.hint(),
        };
        sender.send(&Reply::Verdict(verdict)).await?;
        sender.finish();
        Ok(())
    }

    /// Waits for the entry to start a reserved run; returns whether it may run.
    async fn await_go(
        &self,
        sender: &mut Sender<Reply>,
        receiver: &mut Receiver<Frame>,
        offer: &Offer,
        token: Token,
    ) -> io::Result<bool> {
        let Some(key) = &offer.key else {
            return Ok(true);
        };
        let admitted = self.admit(sender, Some(token)).await;
        let message = if admitted.is_ok() {
            receiver.receive().await
        } else {
            Ok(None)
        };
        let Ok(mut ledger) = self.ledger.lock() else {
            return Ok(false);
        };
        if let Ok(Some(Frame::Go { token })) = message {
            return Ok(ledger.start(key, token, Instant::now()).is_ok());
        }
        ledger.withdraw(key, token, Instant::now());
        Ok(false)
    }

    /// Run and answer stages: both go on side by side until the answer is complete.
    async fn run(
        self,
        mut sender: Sender<Reply>,
        receiver: Receiver<Frame>,
        offer: Offer,
        deadline: Instant,
        slot: Slot,
    ) -> io::Result<()> {
        let kind = Kind::Run {
            endpoint: self.endpoint.clone(),
            attempt: offer.attempt,
        };
        self.recorder.record(Some(&offer.request), kind);
        let (replies, mut answers) = mpsc::channel(WAITING);
        let (body, pieces) = mpsc::channel(WAITING);
        let key = offer.key.clone();
        let run = Run {
            engine: self.engine.clone(),
            offer,
            deadline,
            replies,
            keep: key.is_some(),
        };
        self.metrics.runs.inc();
        self.metrics.running.inc();
        let upload = tokio::spawn(upload(receiver, body));
        let server = self.clone();
        let running = self.shutdown.in_flight().spawn(async move {
            let answer = run.run(pieces, slot).await.map(Arc::new);
            if let (Some(key), Ok(mut ledger)) = (key, server.ledger.lock()) {
                ledger.finish(&key, answer, Instant::now());
            }
            server.metrics.running.dec();
        });
        let cancel = async {
            if upload.await.unwrap_or(true) {
                return;
            }
            std::future::pending::<()>().await;
        };
        tokio::pin!(cancel);
        loop {
            let reply = tokio::select! {
                reply = answers.recv() => reply,
                () = &mut cancel => break,
            };
            let Some(reply) = reply else { break };
            sender.send(&reply).await?;
        }
        drop(answers);
        sender.finish();
        let _ = running.await;
        Ok(())
    }
}

fn ask(offer: &Offer, deadline: Instant) -> Ask {
    Ask {
        request: offer.request.clone(),
        attempt: offer.attempt,
        service: offer.service.clone(),
        team: offer.team.clone(),
        priority: offer.priority,
        repeatable: offer.key.is_none(),
        fingerprint: offer.fingerprint,
        deadline,
        version: offer.version,
    }
}

/// Passes the request body on; returns whether the entry left.
async fn upload(mut receiver: Receiver<Frame>, body: mpsc::Sender<io::Result<Bytes>>) -> bool {
    let mut length = 0;
    loop {
        match receiver.receive().await {
            Ok(Some(Frame::Body { data })) => {
                length += data.len() as u64;
                let _ = body.send(Ok(data)).await;
            }
            Ok(Some(Frame::End { length: announced })) if announced == length => break,
            _ => {
                let _ = body
                    .send(Err(io::Error::other("the request body is cut")))
                    .await;
                return true;
            }
        }
    }
    drop(body);
    !matches!(receiver.receive().await, Ok(None))
}

/// Sends a stored answer again, under the ids of the attempt that asked.
async fn replay(sender: &mut Sender<Reply>, offer: &Offer, answer: &Answer) -> io::Result<()> {
    let (request, attempt) = (offer.request.clone(), offer.attempt);
    let mut check = Delivery::new(request.clone(), attempt);
    let head = Head {
        request: request.clone(),
        attempt,
        ..answer.head.clone()
    };
    sender.send(&Reply::Head(head)).await?;
    let mut left = answer.body.clone();
    while !left.is_empty() {
        let data = left.split_to(left.len().min(CHUNK));
        let piece = Reply::Data {
            request: request.clone(),
            attempt,
            offset: check.length(),
            data,
        };
        let _ = check.accept(piece.clone());
        sender.send(&piece).await?;
    }
    sender
        .send(&Reply::End {
            request,
            attempt,
            seal: check.seal(),
        })
        .await?;
    sender.finish();
    let _ = time::timeout(time::Duration::from_secs(1), sender.stopped()).await;
    Ok(())
}
