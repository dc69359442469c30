use std::{io, sync::Arc};

use bytes::Bytes;
use conf::id;
use event::{Kind, Recorder};
use fault::{ErrorKind, Fault};
use futures::future::BoxFuture;
use gate::Descriptor;
use node::{Shutdown, Work};
use once::{Answer, Verifier};
use tokio::{
    sync::mpsc,
    task::JoinHandle,
    time::{self, Instant},
};
use wire::{CHUNK_LIMIT, Frame, Head, Offer, Receiver, Reply, Sender, Token, Verdict};

use crate::{
    admit::{Gatekeeper, Slot},
    engine::Engine,
    metrics::Metrics,
    outlet::{self, Outlet, Outlets, Read},
    record::{Book, Hold, Reservation},
    run::Run,
};

/// Pieces of a request body that wait for the engine to read them.
const WAITING: usize = 4;

/// Serves the attempts that entries offer.
#[derive(Clone)]
pub(crate) struct Server {
    pub(crate) endpoint: id::Endpoint,
    pub(crate) gatekeeper: Gatekeeper,
    pub(crate) book: Book,
    pub(crate) outlets: Outlets,
    pub(crate) engine: Engine,
    pub(crate) recorder: Recorder,
    pub(crate) metrics: Metrics,
    pub(crate) shutdown: Shutdown,
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
        match receiver.receive().await? {
            Some(Frame::Offer(offer)) => self.offered(sender, receiver, *offer).await,
            Some(Frame::Resume {
                request,
                attempt,
                offset,
            }) => match self.outlets.find(&request, attempt) {
                Some(outlet) => {
                    let left = tokio::spawn(leaves(receiver));
                    self.answer(sender, outlet, offset, left).await;
                    Ok(())
                }
                None => {
                    let fault = ErrorKind::Interrupted.into();
                    sender.send(&Reply::Failed { fault }).await?;
                    outlet::flush(&mut sender).await;
                    Ok(())
                }
            },
            _ => Err(io::Error::other("the first message starts no attempt")),
        }
    }

    async fn offered(
        self,
        mut sender: Sender<Reply>,
        mut receiver: Receiver<Frame>,
        offer: Offer,
    ) -> io::Result<()> {
        let deadline = Instant::now() + offer.time_left;
        self.recorder.observe(offer.stamp);
        let reservation = match self.book.reserve(&offer, deadline) {
            Ok(reservation) => reservation,
            Err(fault) => return self.refuse(&mut sender, &offer, fault).await,
        };
        let mut hold = match reservation {
            Reservation::Replay(answer) => {
                self.admit(&mut sender, Some(Token::default())).await?;
                let rest = drain(receiver);
                return tokio::join!(replay(&mut sender, &offer, &answer), rest).0;
            }
            Reservation::Held(hold) => Some(hold),
            Reservation::None => None,
        };
        let asked = Instant::now();
        let slot = tokio::select! {
            slot = self.gatekeeper.admit(ask(&offer, deadline)) => slot,
            _ = receiver.receive() => return Ok(()),
        };
        let waited = asked.elapsed().as_secs_f64();
        self.metrics.queue_time.observe(waited);
        let slot = match slot {
            Ok(slot) => slot,
            Err(fault) => {
                let fault = match hold {
                    Some(hold) => hold.refuse(fault),
                    None => fault,
                };
                return self.refuse(&mut sender, &offer, fault).await;
            }
        };
        self.admit(&mut sender, hold.as_ref().map(Hold::token))
            .await?;
        if let Some(hold) = &mut hold
            && let Err(fault) = await_go(hold, &mut receiver).await?
        {
            sender.send(&Reply::Failed { fault }).await?;
            outlet::flush(&mut sender).await;
            return Ok(());
        }
        self.run(sender, receiver, offer, deadline, slot, hold)
            .await;
        Ok(())
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
        outlet::flush(sender).await;
        Ok(())
    }

    /// Run and answer stages: both go on side by side until the answer is complete.
    async fn run(
        self,
        sender: Sender<Reply>,
        receiver: Receiver<Frame>,
        offer: Offer,
        deadline: Instant,
        slot: Slot,
        hold: Option<Hold>,
    ) {
        let kind = Kind::Run {
            endpoint: self.endpoint.clone(),
            attempt: offer.attempt,
        };
        self.recorder.record(Some(&offer.request), kind);
        let outlet = self.outlets.open(&offer.request, offer.attempt);
        let (body, pieces) = mpsc::channel(WAITING);
        let run = Run {
            engine: self.engine.clone(),
            offer,
            deadline,
            metrics: self.metrics.clone(),
            outlet: outlet.clone(),
            keep: hold.is_some(),
        };
        self.metrics.runs.inc();
        self.metrics.running.inc();
        let left = tokio::spawn(upload(receiver, body));
        let metrics = self.metrics.clone();
        let running = self.shutdown.in_flight().spawn(async move {
            let ended = run.run(pieces, slot).await;
            if let Some(hold) = hold {
                hold.finish(ended);
            }
            metrics.running.dec();
        });
        self.answer(sender, outlet, 0, left).await;
        let _ = running.await;
    }

    /// Sends an answer from `offset` on; forgets it unless another reader takes over.
    async fn answer(
        &self,
        mut sender: Sender<Reply>,
        outlet: Arc<Outlet>,
        offset: u64,
        left: JoinHandle<Read>,
    ) {
        let cursor = outlet.attach(offset);
        let gone = async {
            let read = left.await.unwrap_or(Read::Lost);
            if read == Read::Done {
                std::future::pending::<()>().await;
            }
            read
        };
        let read = tokio::select! {
            read = outlet.read(&mut sender, cursor) => read,
            read = gone => read,
        };
        let over = match read {
            Read::Done | Read::Left => true,
            Read::Lost => !outlet.regained(cursor).await,
            Read::Replaced => false,
        };
        if over {
            self.outlets.close(&outlet);
        }
    }
}

/// Waits for the entry to start a reserved run.
async fn await_go(
    hold: &mut Hold,
    receiver: &mut Receiver<Frame>,
) -> io::Result<Result<(), Fault>> {
    match receiver.receive().await? {
        Some(Frame::Go { token }) => Ok(hold.start(token)),
        _ => Err(io::Error::other("the entry withdrew the attempt")),
    }
}

fn ask(offer: &Offer, deadline: Instant) -> Descriptor {
    Descriptor {
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

/// Passes the request body on; returns how the entry's side of the stream ended.
async fn upload(mut receiver: Receiver<Frame>, body: mpsc::Sender<io::Result<Bytes>>) -> Read {
    let mut length = 0;
    loop {
        let read = match receiver.receive().await {
            Ok(Some(Frame::Body { data })) => {
                length += data.len() as u64;
                let _ = body.send(Ok(data)).await;
                continue;
            }
            Ok(Some(Frame::End { length: announced })) if announced == length => break,
            Ok(_) => Read::Left,
            Err(e) => outlet::ended(&e),
        };
        let cut = io::Error::other("the request body is cut");
        let _ = body.send(Err(cut)).await;
        return read;
    }
    drop(body);
    leaves(receiver).await
}

/// Waits for the end of the entry's side of the stream after the request body.
async fn leaves(mut receiver: Receiver<Frame>) -> Read {
    match receiver.receive().await {
        Ok(None) => Read::Done,
        Ok(Some(_)) => Read::Left,
        Err(e) => outlet::ended(&e),
    }
}

/// Reads and drops what the entry still sends. If its side were stopped, the entry would take the
/// start of a run that needs none for broken.
async fn drain(mut receiver: Receiver<Frame>) {
    let rest = async { while let Ok(Some(_)) = receiver.receive().await {} };
    let _ = time::timeout(outlet::FLUSH, rest).await;
}

/// Sends a stored answer again, under the ids of the attempt that asked.
async fn replay(sender: &mut Sender<Reply>, offer: &Offer, answer: &Answer) -> io::Result<()> {
    let (request, attempt) = (offer.request.clone(), offer.attempt);
    let mut check = Verifier::new(request.clone(), attempt);
    let head = Head {
        request: request.clone(),
        attempt,
        ..answer.head.clone()
    };
    sender.send(&Reply::Head(head)).await?;
    let mut left = answer.body.clone();
    while !left.is_empty() {
        let data = left.split_to(left.len().min(CHUNK_LIMIT));
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
            checksum: check.seal(),
        })
        .await?;
    outlet::flush(sender).await;
    Ok(())
}
