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
    admission::{Admission, Slot},
    engine::Engine,
    metrics::Metrics,
    output::{self, Ending, Output, Outputs},
    record::{Decision, Reservation, Store},
    run::Run,
};

/// Number of chunks of a request body that are buffered until the engine reads them.
const BODY_QUEUE_CHUNKS: usize = 4;

/// Serves the attempts that entries offer.
#[derive(Clone)]
pub(crate) struct Server {
    pub(crate) endpoint: id::Endpoint,
    pub(crate) admission: Admission,
    pub(crate) store: Store,
    pub(crate) outputs: Outputs,
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
                log::debug!("work stream failed: {e}");
            }
        }))
    }
}

impl Server {
    /// Serves a stream, which either offers an attempt or resumes the answer to one.
    async fn serve(
        self,
        mut sender: Sender<Reply>,
        mut receiver: Receiver<Frame>,
    ) -> io::Result<()> {
        match receiver.receive().await? {
            Some(Frame::Offer(offer)) => self.serve_offer(sender, receiver, *offer).await,
            Some(Frame::Resume {
                request,
                attempt,
                offset,
            }) => match self.outputs.find(&request, attempt) {
                Some(output) => {
                    let receive_task = tokio::spawn(wait_for_end(receiver));
                    self.send_answer(sender, output, offset, receive_task).await;
                    Ok(())
                }
                None => {
                    let fault = ErrorKind::Interrupted.into();
                    sender.send(&Reply::Failed { fault }).await?;
                    output::flush(&mut sender).await;
                    Ok(())
                }
            },
            _ => Err(io::Error::other(
                "the first message is neither an offer nor a resume",
            )),
        }
    }

    /// Reserves, admits and runs an attempt.
    async fn serve_offer(
        self,
        mut sender: Sender<Reply>,
        mut receiver: Receiver<Frame>,
        offer: Offer,
    ) -> io::Result<()> {
        let deadline = Instant::now() + offer.time_left;
        self.recorder.observe(offer.stamp);
        let decision = match self.store.reserve(&offer, deadline) {
            Ok(decision) => decision,
            Err(fault) => return self.send_refusal(&mut sender, &offer, fault).await,
        };
        let mut reservation = match decision {
            Decision::Replay(answer) => {
                self.send_admission(&mut sender, Some(Token::default()))
                    .await?;
                let rest = discard(receiver);
                return tokio::join!(replay(&mut sender, &offer, &answer), rest).0;
            }
            Decision::Reserved(reservation) => Some(reservation),
            Decision::Unkeyed => None,
        };
        let queued_at = Instant::now();
        let slot = tokio::select! {
            slot = self.admission.admit(descriptor(&offer, deadline)) => slot,
            _ = receiver.receive() => return Ok(()),
        };
        let queue_time = queued_at.elapsed().as_secs_f64();
        self.metrics.queue_time.observe(queue_time);
        let slot = match slot {
            Ok(slot) => slot,
            Err(fault) => {
                let fault = match reservation {
                    Some(reservation) => reservation.withdraw(fault),
                    None => fault,
                };
                return self.send_refusal(&mut sender, &offer, fault).await;
            }
        };
        self.send_admission(&mut sender, reservation.as_ref().map(Reservation::token))
            .await?;
        if let Some(reservation) = &mut reservation
            && let Err(fault) = await_start(reservation, &mut receiver).await?
        {
            sender.send(&Reply::Failed { fault }).await?;
            output::flush(&mut sender).await;
            return Ok(());
        }
        self.run(sender, receiver, offer, deadline, slot, reservation)
            .await;
        Ok(())
    }

    async fn send_admission(
        &self,
        sender: &mut Sender<Reply>,
        token: Option<Token>,
    ) -> io::Result<()> {
        let verdict = Verdict::Admitted {
            token,
            hint: self.admission.hint(),
        };
        sender.send(&Reply::Verdict(verdict)).await
    }

    async fn send_refusal(
        &self,
        sender: &mut Sender<Reply>,
        offer: &Offer,
        fault: Fault,
    ) -> io::Result<()> {
        self.metrics.count_refusal(&fault);
        self.recorder.record(
            Some(&offer.request),
            Kind::Refusal {
                kind: fault.kind().name().into(),
            },
        );
        let verdict = Verdict::Refused {
            fault,
            hint: self.admission.hint(),
        };
        sender.send(&Reply::Verdict(verdict)).await?;
        output::flush(sender).await;
        Ok(())
    }

    /// Runs an attempt and sends its answer concurrently, until both are complete.
    async fn run(
        self,
        sender: Sender<Reply>,
        receiver: Receiver<Frame>,
        offer: Offer,
        deadline: Instant,
        slot: Slot,
        reservation: Option<Reservation>,
    ) {
        let kind = Kind::Run {
            endpoint: self.endpoint.clone(),
            attempt: offer.attempt,
        };
        self.recorder.record(Some(&offer.request), kind);
        let output = self.outputs.open(&offer.request, offer.attempt);
        let (body, chunks) = mpsc::channel(BODY_QUEUE_CHUNKS);
        let run = Run {
            engine: self.engine.clone(),
            offer,
            deadline,
            metrics: self.metrics.clone(),
            output: output.clone(),
            reserved: reservation.is_some(),
        };
        self.metrics.runs.inc();
        self.metrics.running.inc();
        let receive_task = tokio::spawn(forward_body(receiver, body));
        let metrics = self.metrics.clone();
        let run_task = self.shutdown.in_flight().spawn(async move {
            let ending = run.run(chunks, slot).await;
            if let Some(reservation) = reservation {
                reservation.finish(ending);
            }
            metrics.running.dec();
        });
        self.send_answer(sender, output, 0, receive_task).await;
        let _ = run_task.await;
    }

    /// Sends an answer from the byte `offset` of its body; closes the output afterwards unless
    /// another reader has replaced this one.
    ///
    /// `receive_task` waits for the end of the entry's side of the stream.
    async fn send_answer(
        &self,
        mut sender: Sender<Reply>,
        output: Arc<Output>,
        offset: u64,
        receive_task: JoinHandle<Ending>,
    ) {
        let cursor = output.attach(offset);
        let ended_early = async {
            let ending = receive_task.await.unwrap_or(Ending::Disconnected);
            if ending == Ending::Complete {
                std::future::pending::<()>().await;
            }
            ending
        };
        let ending = tokio::select! {
            ending = output.read(&mut sender, cursor) => ending,
            ending = ended_early => ending,
        };
        let close = match ending {
            Ending::Complete | Ending::Cancelled => true,
            Ending::Disconnected => !output.reattached(cursor).await,
            Ending::Replaced => false,
        };
        if close {
            self.outputs.close(&output);
        }
    }
}

/// Waits for the entry to start a reserved run.
///
/// The inner result is the ledger's decision on the start.
async fn await_start(
    reservation: &mut Reservation,
    receiver: &mut Receiver<Frame>,
) -> io::Result<Result<(), Fault>> {
    match receiver.receive().await? {
        Some(Frame::Go { token }) => Ok(reservation.start(token)),
        _ => Err(io::Error::other("the entry withdrew the attempt")),
    }
}

fn descriptor(offer: &Offer, deadline: Instant) -> Descriptor {
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

/// Forwards the request body to a channel; returns how the entry's side of the stream ended.
async fn forward_body(
    mut receiver: Receiver<Frame>,
    body: mpsc::Sender<io::Result<Bytes>>,
) -> Ending {
    let mut length = 0;
    loop {
        let ending = match receiver.receive().await {
            Ok(Some(Frame::Body { data })) => {
                length += data.len() as u64;
                let _ = body.send(Ok(data)).await;
                continue;
            }
            Ok(Some(Frame::End { length: announced })) if announced == length => break,
            Ok(_) => Ending::Cancelled,
            Err(e) => output::classify_error(&e),
        };
        let error = io::Error::other("the request body is incomplete");
        let _ = body.send(Err(error)).await;
        return ending;
    }
    drop(body);
    wait_for_end(receiver).await
}

/// Waits for the end of the entry's side of the stream after the request body.
async fn wait_for_end(mut receiver: Receiver<Frame>) -> Ending {
    match receiver.receive().await {
        Ok(None) => Ending::Complete,
        Ok(Some(_)) => Ending::Cancelled,
        Err(e) => output::classify_error(&e),
    }
}

/// Reads and discards what the entry still sends before a replay.
///
/// If this side stopped reading, the entry's message that starts the run would fail, and the entry
/// would treat the attempt as interrupted.
async fn discard(mut receiver: Receiver<Frame>) {
    let rest = async { while let Ok(Some(_)) = receiver.receive().await {} };
    let _ = time::timeout(output::FLUSH_TIMEOUT, rest).await;
}

/// Sends a stored answer with the request id and number of the attempt that repeats the key.
async fn replay(sender: &mut Sender<Reply>, offer: &Offer, answer: &Answer) -> io::Result<()> {
    let (request, attempt) = (offer.request.clone(), offer.attempt);
    let mut verifier = Verifier::new(request.clone(), attempt);
    let head = Head {
        request: request.clone(),
        attempt,
        ..answer.head.clone()
    };
    sender.send(&Reply::Head(head)).await?;
    let mut remaining = answer.body.clone();
    while !remaining.is_empty() {
        let data = remaining.split_to(remaining.len().min(CHUNK_LIMIT));
        let reply = Reply::Data {
            request: request.clone(),
            attempt,
            offset: verifier.length(),
            data,
        };
        let _ = verifier.accept(reply.clone());
        sender.send(&reply).await?;
    }
    sender
        .send(&Reply::End {
            request,
            attempt,
            checksum: verifier.checksum(),
        })
        .await?;
    output::flush(sender).await;
    Ok(())
}
