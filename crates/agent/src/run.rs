use std::{io, sync::Arc};

use bytes::{Bytes, BytesMut};
use fault::{ErrorKind, Fault, Run as Known};
use gate::Outcome;
use http::Response;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use once::{Answer, Verifier};
use tokio::{
    sync::mpsc,
    time::{self, Instant},
};
use wire::{CHUNK_LIMIT, Checksum, Head, Header, Offer, Reply};

use crate::{admit::Slot, engine::Engine, metrics::Metrics, outlet::Outlet};

/// Largest answer that is stored, in bytes.
const ANSWER_LIMIT: usize = 1024 * 1024;

/// Headers of an engine's answer that concern one connection only and do not pass through.
const HOP_BY_HOP: [&str; 6] = [
    "connection",
    "keep-alive",
    "trailer",
    "transfer-encoding",
    "upgrade",
    crate::engine::ATTEMPT,
];

/// Runs one attempt at the engine and passes its answer on.
pub(crate) struct Run {
    pub(crate) engine: Engine,
    pub(crate) offer: Offer,
    pub(crate) deadline: Instant,
    pub(crate) metrics: Metrics,
    /// Where the answer goes.
    pub(crate) outlet: Arc<Outlet>,
    /// Whether the answer is kept and the run goes on although nobody reads it.
    pub(crate) keep: bool,
}

/// How a run ended.
pub(crate) enum Ended {
    /// The answer is whole and is kept.
    Kept(Answer),
    /// Nothing reached the engine.
    NotRun,
    /// It is over, and nothing of it is kept.
    Gone,
}

impl Run {
    /// Runs the attempt.
    pub(crate) async fn run(&self, body: mpsc::Receiver<io::Result<Bytes>>, slot: Slot) -> Ended {
        let result = tokio::select! {
            result = time::timeout_at(self.deadline, self.answer(body, &slot)) => result,
            () = self.abandoned() => {
                slot.finish(Outcome::Cancelled);
                return Ended::Gone;
            }
        };
        match result.unwrap_or_else(|_| Err(ErrorKind::DeadlineRunning.into())) {
            Ok((seal, answer)) => {
                slot.finish(Outcome::Done);
                self.outlet.finish(Ok(seal));
                answer.map_or(Ended::Gone, Ended::Kept)
            }
            Err(fault) => {
                slot.finish(outcome(&fault));
                if fault.kind() == ErrorKind::BadAnswer {
                    self.metrics.strays.inc();
                }
                let not_run = fault.run() == Known::No;
                self.outlet.finish(Err(fault));
                if not_run { Ended::NotRun } else { Ended::Gone }
            }
        }
    }

    /// Waits until nobody wants the answer of a run that need not go on.
    async fn abandoned(&self) {
        if self.keep {
            std::future::pending::<()>().await;
        }
        self.outlet.left().await;
    }

    async fn answer(
        &self,
        body: mpsc::Receiver<io::Result<Bytes>>,
        slot: &Slot,
    ) -> Result<(Checksum, Option<Answer>), Fault> {
        let response = self.engine.send(&self.offer, body).await?;
        if response.status().is_server_error() {
            slot.fail();
        } else {
            slot.first();
        }
        let head = self.head(&response);
        self.outlet.begin(head.clone());
        let (seal, body) = self.body(response.into_body()).await?;
        Ok((seal, body.map(|body| Answer { head, body })))
    }

    fn head(&self, response: &Response<Incoming>) -> Head {
        let passing = response
            .headers()
            .iter()
            .filter(|(name, _)| !HOP_BY_HOP.contains(&name.as_str()));
        let headers = passing
            .map(|(name, value)| Header {
                name: name.as_str().into(),
                value: Bytes::copy_from_slice(value.as_bytes()),
            })
            .collect();
        Head {
            request: self.offer.request.clone(),
            attempt: self.offer.attempt,
            status: response.status().as_u16(),
            headers,
        }
    }

    /// Passes the body on; returns it too if it is kept.
    async fn body(&self, mut body: Incoming) -> Result<(Checksum, Option<Bytes>), Fault> {
        let mut check = Verifier::new(self.offer.request.clone(), self.offer.attempt);
        let mut kept = self.keep.then(BytesMut::new);
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| ErrorKind::Interrupted)?;
            let Ok(mut data) = frame.into_data() else {
                continue;
            };
            kept = kept.filter(|kept| kept.len() + data.len() <= ANSWER_LIMIT);
            if let Some(kept) = &mut kept {
                kept.extend_from_slice(&data);
            }
            while !data.is_empty() {
                let piece = data.split_to(data.len().min(CHUNK_LIMIT));
                check.accept(self.piece(check.length(), piece.clone()))?;
                self.outlet.push(piece).await;
            }
        }
        Ok((check.seal(), kept.map(BytesMut::freeze)))
    }

    fn piece(&self, offset: u64, data: Bytes) -> Reply {
        Reply::Data {
            request: self.offer.request.clone(),
            attempt: self.offer.attempt,
            offset,
            data,
        }
    }
}

/// Says what a failed run tells about the engine: only a broken connection is a sign of a restart.
fn outcome(fault: &Fault) -> Outcome {
    match fault.kind() {
        ErrorKind::Interrupted => Outcome::Disconnected,
        ErrorKind::DeadlineRunning | ErrorKind::Malformed => Outcome::Cancelled,
        _ => Outcome::Failed,
    }
}
