use std::io;

use bytes::Bytes;
use event::{Kind, Recorder};
use fault::{ErrorKind, Fault};
use once::Piece;
use route::Event;
use tokio::{
    sync::mpsc::Sender,
    time::{self, Instant},
};
use wire::{Head, Request};

use crate::{attempt::Stream, choose::Choice, metrics::Metrics};

/// Attempt whose answer has begun.
pub(crate) struct Started {
    /// Head of the answer.
    pub(crate) head: Head,
    /// The rest of it.
    pub(crate) stream: Stream,
}

/// Passes the body of an answer from an attempt to its caller.
pub(crate) struct Pump {
    pub(crate) metrics: Metrics,
    pub(crate) recorder: Recorder,
    pub(crate) request: Request,
    pub(crate) repeatable: bool,
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
}

/// How the body of an answer ended.
enum End {
    Whole,
    Cut(Fault),
    CallerGone,
}

impl Pump {
    /// Passes the body on to its end.
    pub(crate) async fn run(
        self,
        mut started: Started,
        choice: Choice,
        sender: Sender<io::Result<Bytes>>,
    ) {
        self.metrics.in_flight.inc();
        let end = self.pieces(&mut started.stream, &choice, &sender).await;
        let delivery = started.stream.delivery();
        self.metrics.strays.inc_by(delivery.mismatches());
        match end {
            End::Whole => self.record(Kind::Answer {
                status: started.head.status,
                length: delivery.length(),
            }),
            End::Cut(fault) => {
                self.metrics.refused(&fault);
                self.record(Kind::Refusal {
                    kind: fault.kind().name().into(),
                });
                let _ = sender.send(Err(io::Error::other(fault))).await;
            }
            // A run that may not be repeated goes on, so that its answer is there when the caller
            // asks again.
            End::CallerGone if self.repeatable => started.stream.cancel().await,
            End::CallerGone => {}
        }
        self.metrics.in_flight.dec();
    }

    fn record(&self, kind: Kind) {
        self.recorder.record(Some(&self.request), kind);
    }

    /// Measures the time since the arrival of the request or the last piece of its answer.
    fn time_piece(&self, last: &mut Option<Instant>) {
        let now = Instant::now();
        let (since, histogram) = match last {
            Some(last) => (*last, &self.metrics.token_gap),
            None => (self.arrived, &self.metrics.first_token),
        };
        histogram.observe(now.saturating_duration_since(since).as_secs_f64());
        *last = Some(now);
    }

    async fn pieces(
        &self,
        stream: &mut Stream,
        choice: &Choice,
        sender: &Sender<io::Result<Bytes>>,
    ) -> End {
        let mut last = None;
        loop {
            let piece = tokio::select! {
                piece = time::timeout_at(self.deadline, stream.next()) => piece,
                () = sender.closed() => return End::CallerGone,
            };
            match piece {
                Ok(Ok(Piece::Data(data))) => {
                    self.time_piece(&mut last);
                    choice.tell(Event::Progress {
                        request: self.request.clone(),
                        attempt: stream.attempt(),
                    });
                    if sender.capacity() == 0 {
                        let request = self.request.clone();
                        choice.tell(Event::Backpressure { request });
                    }
                    if sender.send(Ok(data)).await.is_err() {
                        return End::CallerGone;
                    }
                }
                Ok(Ok(Piece::End)) => return End::Whole,
                Ok(Ok(Piece::Head(_) | Piece::Ignored)) => {}
                Ok(Err(fault)) => return End::Cut(fault),
                Err(_) => return End::Cut(ErrorKind::DeadlineRunning.into()),
            }
        }
    }
}
