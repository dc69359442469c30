use std::io;

use bytes::{Bytes, BytesMut};
use fault::{ErrorKind, Fault};
use gate::Outcome;
use http::Response;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use once::{Answer, Delivery};
use tokio::{
    sync::mpsc,
    time::{self, Instant},
};
use wire::{CHUNK, Head, Header, Offer, Reply};

use crate::{admit::Slot, engine::Engine};

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
    /// Where the answer goes.
    pub(crate) replies: mpsc::Sender<Reply>,
    /// Whether the answer is kept and the run goes on although nobody reads it.
    pub(crate) keep: bool,
}

impl Run {
    /// Runs the attempt; returns its whole answer if that is kept.
    pub(crate) async fn run(
        self,
        body: mpsc::Receiver<io::Result<Bytes>>,
        slot: Slot,
    ) -> Option<Answer> {
        let result = tokio::select! {
            result = time::timeout_at(self.deadline, self.answer(body, &slot)) => result,
            () = self.abandoned() => {
                slot.finish(Outcome::Cancelled);
                return None;
            }
        };
        match result.unwrap_or_else(|_| Err(ErrorKind::DeadlineRunning.into())) {
            Ok(answer) => {
                slot.finish(Outcome::Done);
                answer
            }
            Err(fault) => {
                slot.finish(outcome(&fault));
                let _ = self.replies.send(Reply::Failed { fault }).await;
                None
            }
        }
    }

    /// Waits until nobody reads the answer of a run that need not go on.
    async fn abandoned(&self) {
        if self.keep {
            std::future::pending::<()>().await;
        }
        self.replies.closed().await;
    }

    async fn answer(
        &self,
        body: mpsc::Receiver<io::Result<Bytes>>,
        slot: &Slot,
    ) -> Result<Option<Answer>, Fault> {
        let response = self.engine.send(&self.offer, body).await?;
        if response.status().is_server_error() {
            slot.fail();
        } else {
            slot.first();
        }
        let head = self.head(&response);
        self.reply(Reply::Head(head.clone())).await;
        let kept = self.body(response.into_body()).await?;
        Ok(self.keep.then(|| Answer { head, body: kept }))
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

    async fn body(&self, mut body: Incoming) -> Result<Bytes, Fault> {
        let mut check = Delivery::new(self.offer.request.clone(), self.offer.attempt);
        let mut kept = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| ErrorKind::Interrupted)?;
            let Ok(mut data) = frame.into_data() else {
                continue;
            };
            if self.keep {
                kept.extend_from_slice(&data);
            }
            while !data.is_empty() {
                let piece = self.piece(check.length(), data.split_to(data.len().min(CHUNK)));
                check.accept(piece.clone())?;
                self.reply(piece).await;
            }
        }
        let (request, attempt) = (self.offer.request.clone(), self.offer.attempt);
        self.reply(Reply::End {
            request,
            attempt,
            seal: check.seal(),
        })
        .await;
        Ok(kept.freeze())
    }

    fn piece(&self, offset: u64, data: Bytes) -> Reply {
        Reply::Data {
            request: self.offer.request.clone(),
            attempt: self.offer.attempt,
            offset,
            data,
        }
    }

    /// Passes a message on; a run that is kept goes on although nobody reads it.
    async fn reply(&self, reply: Reply) {
        let _ = self.replies.send(reply).await;
    }
}

/// Says what a failed run tells about the engine: only a broken connection is a sign of a restart.
fn outcome(fault: &Fault) -> Outcome {
    match fault.kind() {
        ErrorKind::Interrupted => Outcome::Broken,
        ErrorKind::DeadlineRunning | ErrorKind::Malformed => Outcome::Cancelled,
        _ => Outcome::Failed,
    }
}
