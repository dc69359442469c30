use std::{io, sync::Arc};

use bytes::{Bytes, BytesMut};
use fault::{ErrorKind, Fault};
use gate::Outcome;
use http::Response;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use once::{Answer, Verifier};
use payload::Metered;
use tokio::{
    sync::mpsc,
    time::{self, Instant},
};
use wire::{CHUNK_LIMIT, Checksum, Head, Header, Offer, Reply};

use crate::{admission::Slot, engine::Engine, metrics::Metrics, output::Output};

/// Largest body of an answer that is stored, in bytes.
const MAX_STORED_BYTES: usize = 1024 * 1024;

/// Headers of an engine's response that are not forwarded, as they apply to the connection to the
/// engine only.
const HOP_BY_HOP: [&str; 6] = [
    "connection",
    "keep-alive",
    "trailer",
    "transfer-encoding",
    "upgrade",
    crate::engine::ATTEMPT_HEADER,
];

/// Run of one attempt at the engine, which writes the answer to an output.
pub(crate) struct Run {
    pub(crate) engine: Engine,
    pub(crate) offer: Offer,
    /// Time by which the answer must be complete.
    pub(crate) deadline: Instant,
    pub(crate) metrics: Metrics,
    /// Output that the answer is written to.
    pub(crate) output: Arc<Output>,
    /// Whether the attempt holds a reservation: the answer is then stored, and the run continues
    /// when the output is closed.
    pub(crate) reserved: bool,
}

/// How a run ended.
pub(crate) enum Ending {
    /// The answer is complete and to be stored.
    Stored(Answer),
    /// The engine did not get the request.
    NotRun,
    /// The engine may have got the request, and there is no answer to store.
    Discarded,
}

impl Run {
    /// Runs the attempt until its answer is complete, it fails or it is cancelled.
    pub(crate) async fn run(&self, body: mpsc::Receiver<io::Result<Bytes>>, slot: Slot) -> Ending {
        let result = tokio::select! {
            result = time::timeout_at(self.deadline, self.execute(body, &slot)) => result,
            () = self.cancelled() => {
                slot.finish(Outcome::Cancelled);
                return Ending::Discarded;
            }
        };
        match result.unwrap_or_else(|_| Err(ErrorKind::DeadlineRunning.into())) {
            Ok((checksum, answer)) => {
                slot.finish(Outcome::Done);
                self.output.finish(Ok(checksum));
                answer.map_or(Ending::Discarded, Ending::Stored)
            }
            Err(fault) => {
                slot.finish(outcome(&fault));
                if fault.kind() == ErrorKind::BadAnswer {
                    self.metrics.dropped_answers.inc();
                }
                let not_run = fault.run() == fault::Run::No;
                self.output.finish(Err(fault));
                if not_run {
                    Ending::NotRun
                } else {
                    Ending::Discarded
                }
            }
        }
    }

    /// Waits until the output is closed; does not return if the attempt holds a reservation.
    async fn cancelled(&self) {
        if self.reserved {
            std::future::pending::<()>().await;
        }
        self.output.closed().await;
    }

    async fn execute(
        &self,
        body: mpsc::Receiver<io::Result<Bytes>>,
        slot: &Slot,
    ) -> Result<(Checksum, Option<Answer>), Fault> {
        let response = self.engine.send(&self.offer, body).await?;
        if response.status().is_server_error() {
            slot.mark_server_error();
        } else {
            slot.report_first_chunk();
        }
        let head = self.head(&response);
        self.output.begin(head.clone());
        let (checksum, body) = self.forward_body(response.into_body()).await?;
        Ok((checksum, body.map(|body| Answer { head, body })))
    }

    fn head(&self, response: &Response<Metered<Incoming>>) -> Head {
        let forwarded = response
            .headers()
            .iter()
            .filter(|(name, _)| !HOP_BY_HOP.contains(&name.as_str()));
        let headers = forwarded
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

    /// Writes the body to the output; also returns it if it is to be stored and not too large.
    async fn forward_body(
        &self,
        mut body: Metered<Incoming>,
    ) -> Result<(Checksum, Option<Bytes>), Fault> {
        let mut verifier = Verifier::new(self.offer.request.clone(), self.offer.attempt);
        let mut stored = self.reserved.then(BytesMut::new);
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| ErrorKind::Interrupted)?;
            let Ok(mut data) = frame.into_data() else {
                continue;
            };
            stored = stored.filter(|stored| stored.len() + data.len() <= MAX_STORED_BYTES);
            if let Some(stored) = &mut stored {
                stored.extend_from_slice(&data);
            }
            while !data.is_empty() {
                let chunk = data.split_to(data.len().min(CHUNK_LIMIT));
                verifier.accept(self.data_reply(verifier.length(), chunk.clone()))?;
                self.output.push(chunk).await;
            }
        }
        Ok((verifier.checksum(), stored.map(BytesMut::freeze)))
    }

    fn data_reply(&self, offset: u64, data: Bytes) -> Reply {
        Reply::Data {
            request: self.offer.request.clone(),
            attempt: self.offer.attempt,
            offset,
            data,
        }
    }
}

/// Returns the outcome of a failed run for the admission policy.
///
/// Only a lost connection indicates a restart of the engine; a deadline or a malformed request is
/// no failure of the engine.
fn outcome(fault: &Fault) -> Outcome {
    match fault.kind() {
        ErrorKind::Interrupted => Outcome::Disconnected,
        ErrorKind::DeadlineRunning | ErrorKind::Malformed => Outcome::Cancelled,
        _ => Outcome::Failed,
    }
}
