use std::io;

use bytes::Bytes;
use event::{Kind, Recorder};
use fault::{ErrorKind, Fault};
use once::Piece;
use quota::Lease;
use route::Event;
use tokio::{
    sync::mpsc::Sender,
    time::{self, Instant},
};
use wire::{Head, Request};

use crate::{attempt::Stream, dispatch::Subscription, metrics::Metrics};

/// Answer of an attempt, of which the head has arrived.
pub(crate) struct Answer {
    /// Head of the answer.
    pub(crate) head: Head,
    /// Stream that the rest of the answer comes from.
    pub(crate) stream: Stream,
}

/// Relays the body of an answer from an attempt to the client.
pub(crate) struct Relay {
    pub(crate) metrics: Metrics,
    pub(crate) recorder: Recorder,
    /// Id of the request.
    pub(crate) request: Request,
    /// Whether the request may run more than once.
    pub(crate) repeatable: bool,
    /// Time at which the request arrived.
    pub(crate) arrived: Instant,
    /// Time by which the answer must be complete.
    pub(crate) deadline: Instant,
    /// Memory of the request, which is held until the answer has ended.
    pub(crate) _lease: Lease,
}

/// How the relay of a body ended.
enum Ending {
    Complete,
    Failed(Fault),
    /// The client disconnected before the end.
    Disconnected,
}

impl Relay {
    /// Relays the body until it ends, then records the result.
    pub(crate) async fn run(
        self,
        mut answer: Answer,
        subscription: Subscription,
        sender: Sender<io::Result<Bytes>>,
    ) {
        self.metrics.in_flight.inc();
        let ending = self
            .relay_chunks(&mut answer.stream, &subscription, &sender)
            .await;
        let verifier = answer.stream.verifier();
        self.metrics.dropped_messages.inc_by(verifier.mismatches());
        match ending {
            Ending::Complete => self.record(Kind::Answer {
                status: answer.head.status,
                length: verifier.length(),
            }),
            Ending::Failed(fault) => {
                self.metrics.count_rejection(&fault);
                self.record(Kind::Refusal {
                    kind: fault.kind().name().into(),
                });
                let _ = sender.send(Err(io::Error::other(fault))).await;
            }
            // A run that is not repeatable continues, so that the client can get its answer by
            // repeating the request with the same key.
            Ending::Disconnected if self.repeatable => answer.stream.cancel().await,
            Ending::Disconnected => {}
        }
        self.metrics.in_flight.dec();
    }

    fn record(&self, kind: Kind) {
        self.recorder.record(Some(&self.request), kind);
    }

    /// Observes the time since the last chunk of the answer, or since the arrival of the request
    /// for the first one.
    fn observe_chunk(&self, last: &mut Option<Instant>) {
        let now = Instant::now();
        let (since, histogram) = match last {
            Some(last) => (*last, &self.metrics.token_gap),
            None => (self.arrived, &self.metrics.first_token),
        };
        histogram.observe(now.saturating_duration_since(since).as_secs_f64());
        *last = Some(now);
    }

    async fn relay_chunks(
        &self,
        stream: &mut Stream,
        subscription: &Subscription,
        sender: &Sender<io::Result<Bytes>>,
    ) -> Ending {
        let mut last = None;
        loop {
            let piece = tokio::select! {
                piece = time::timeout_at(self.deadline, stream.next()) => piece,
                () = sender.closed() => return Ending::Disconnected,
            };
            match piece {
                Ok(Ok(Piece::Data(data))) => {
                    self.observe_chunk(&mut last);
                    subscription.notify(Event::Progress {
                        request: self.request.clone(),
                        attempt: stream.attempt(),
                    });
                    if sender.capacity() == 0 {
                        let request = self.request.clone();
                        subscription.notify(Event::Backpressure { request });
                    }
                    if sender.send(Ok(data)).await.is_err() {
                        return Ending::Disconnected;
                    }
                }
                Ok(Ok(Piece::End)) => return Ending::Complete,
                Ok(Ok(Piece::Head(_) | Piece::Ignored)) => {}
                Ok(Err(fault)) => return Ending::Failed(fault),
                Err(_) => return Ending::Failed(ErrorKind::DeadlineRunning.into()),
            }
        }
    }
}
