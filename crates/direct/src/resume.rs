use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use conf::id;
use fleet::Route;
use http::request;
use tokio::time::{self, Instant};

use crate::{
    Outcome, Placement, Send,
    call::{Context, TRIES, WORTH_REPEATING, millis},
    flight::{Flight, note},
    forward::outgoing,
    metadata,
    outlet::Broken,
    relay::Relay,
    suspect::Fingerprint,
};

/// What it takes to go on with a stream at another endpoint.
pub(crate) struct Resume {
    pub(crate) context: Arc<Context>,
    pub(crate) request: metadata::Request,
    pub(crate) route: Arc<Route>,
    pub(crate) service: id::Service,
    pub(crate) team: Option<id::Team>,
    pub(crate) rank: u8,
    pub(crate) head: request::Parts,
    pub(crate) body: Bytes,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
    pub(crate) had: Vec<id::Endpoint>,
    pub(crate) runs: u32,
    pub(crate) resumable: bool,
}

impl Resume {
    /// Sends the request to another endpoint, to go on after the event `last`; `None` if that may
    /// not be done or fails.
    pub(crate) async fn resume(&mut self, last: Option<u64>) -> Option<Relay> {
        for _ in 0..TRIES {
            let left = self.deadline.saturating_duration_since(Instant::now());
            if !self.resumable || self.runs >= self.route.attempts || left < WORTH_REPEATING {
                return None;
            }
            let kept = self.context.outlet.kept();
            let send = Send {
                service: &self.service,
                prompt: self.request.prompt_tokens,
                fingerprint: self.fingerprint,
                avoid: &self.had,
                kept: &kept,
                again: true,
                left,
            };
            let view = self.context.view.borrow().clone();
            let choice = self
                .context
                .decide(|desk| desk.choose(&view, &send, Instant::now()));
            let placement = match choice {
                Ok(placement) => placement,
                Err(fault) => {
                    log::info!(request:% = self.request.id, reason:% = fault; "stream is not resumed");
                    return None;
                }
            };
            if let Some(relay) = self.try_at(placement, last, left).await {
                return Some(relay);
            }
        }
        None
    }

    async fn try_at(
        &mut self,
        placement: Placement,
        last: Option<u64>,
        left: Duration,
    ) -> Option<Relay> {
        let flight = Flight::new(self.context.clone(), placement);
        let endpoint = flight.placement.endpoint.clone();
        self.had.push(endpoint.clone());
        log::info!(request:% = self.request.id, endpoint:% = endpoint, after:? = last, left_ms = millis(left); "stream is resumed");
        let forwarded = metadata::Forwarded {
            endpoint: &endpoint,
            team: self.team.as_ref(),
            time_left: left,
            priority: self.rank,
            last_event: last,
        };
        let request = outgoing(
            &*self.context.protocol,
            &self.head,
            self.body.clone(),
            &forwarded,
        );
        let sending = self
            .context
            .outlet
            .send(&endpoint, flight.placement.address, request, false);
        let sent = time::timeout_at(self.deadline, sending).await;
        let (outcome, reason) = match sent {
            Err(_) => (Outcome::Broke, "no answer by the deadline".to_owned()),
            Ok(Err(Broken::Unsent(reason))) => (Outcome::Unreached, reason),
            Ok(Err(Broken::Unknown(reason))) => {
                self.runs += 1;
                (Outcome::Broke, reason)
            }
            Ok(Ok(opened)) => {
                let (head, body) = opened.response.into_parts();
                let answer = self.context.protocol.decode_response(&head);
                let own = answer
                    .request_id
                    .as_ref()
                    .is_none_or(|id| *id == self.request.id);
                if own && answer.signed && !answer.encoded && head.status.is_success() {
                    self.runs += 1;
                    return Some(Relay::new(flight, body, opened.link, &head, last));
                }
                if !answer.not_run && !answer.misdirected {
                    self.runs += 1;
                }
                let outcome = if answer.misdirected {
                    Outcome::Misdirected
                } else {
                    Outcome::Declined
                };
                (outcome, format!("status {}", head.status))
            }
        };
        note(
            &self.context,
            &self.request.id,
            &flight,
            "not resumed",
            &reason,
            self.arrived,
        );
        flight.end(outcome);
        None
    }
}
