use std::{sync::Arc, time::Duration};

use conf::id;
use fleet::Route;
use http::request;
use payload::Message;
use tokio::time::{self, Instant};

use crate::{
    Attempt, Fingerprint, Outcome, Placement,
    call::{Context, MAX_ATTEMPTS, MIN_RETRY_TIME, millis},
    dispatch::{Dispatch, log_outcome, log_retry},
    events,
    forward::build_request,
    metadata,
    pool::Error,
    stream::Upstream,
};

/// State of a client request that is needed to resume its event stream at another endpoint.
pub(crate) struct Resumption {
    pub(crate) context: Arc<Context>,
    pub(crate) request: metadata::Request,
    pub(crate) route: Arc<Route>,
    pub(crate) service: id::Service,
    pub(crate) team: Option<id::Team>,
    /// Level of the request's rank, from 0 (highest); it stays the same if the configuration changes.
    pub(crate) level: u8,
    pub(crate) head: request::Parts,
    pub(crate) body: Message,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
    /// Endpoints to which the request was sent.
    pub(crate) tried: Vec<id::Endpoint>,
    /// Attempts that an endpoint may have run.
    pub(crate) possible_runs: u32,
    /// Whether the route allows streams to be resumed.
    pub(crate) is_resumable: bool,
}

impl Resumption {
    /// Sends the request to another endpoint, to resume after the event `last_id`; returns `None` if
    /// that is not allowed or fails.
    pub(crate) async fn resume(&mut self, last_id: Option<events::Id>) -> Option<Upstream> {
        for _ in 0..MAX_ATTEMPTS {
            let time_left = self.deadline.saturating_duration_since(Instant::now());
            if !self.is_resumable
                || self.possible_runs >= self.route.max_attempts
                || time_left < MIN_RETRY_TIME
            {
                return None;
            }
            let connected = self.context.pool.connected_endpoints();
            let attempt = Attempt {
                service: &self.service,
                prompt_tokens: self.request.prompt_tokens,
                fingerprint: self.fingerprint,
                shared_parts: &self.request.shared_parts,
                excluded: &self.tried,
                connected: &connected,
                is_retry: true,
                time_left,
                // The stream has started, so it is not refused because of its rank.
                level: 0,
                levels: 1,
                team: None,
                returning: false,
            };
            let placement = match self.context.choose(&attempt, Instant::now()).0 {
                Ok(placement) => placement,
                Err(fault) => {
                    log::info!(request:% = self.request.id, reason:% = fault; "stream is not resumed");
                    return None;
                }
            };
            if let Some(upstream) = self.resume_at(placement, last_id.clone(), time_left).await {
                return Some(upstream);
            }
        }
        None
    }

    async fn resume_at(
        &mut self,
        placement: Placement,
        last_id: Option<events::Id>,
        time_left: Duration,
    ) -> Option<Upstream> {
        let mut dispatch = Dispatch::new(self.context.clone(), placement);
        let endpoint = dispatch.placement.endpoint.clone();
        self.tried.push(endpoint.clone());
        log_retry(&self.request.id, &dispatch.placement);
        log::info!(request:% = self.request.id, endpoint:% = endpoint, after:? = last_id, left_ms = millis(time_left); "stream is resumed");
        let forwarded = metadata::Forwarded {
            endpoint: &endpoint,
            team: self.team.as_ref(),
            time_left,
            priority: self.level.min(metadata::MAX_PRIORITY),
            last_event: last_id.as_ref(),
        };
        let request = build_request(
            &*self.context.protocol,
            &self.head,
            self.body.outgoing(),
            &forwarded,
        );
        let sending = self
            .context
            .pool
            .send(&endpoint, dispatch.placement.address, request, false);
        let sent = time::timeout_at(self.deadline, sending).await;
        let (outcome, reason) = match sent {
            Err(_) => (Outcome::Broke, "no answer by the deadline".to_owned()),
            Ok(Err(Error::NotSent(reason))) => (Outcome::Unreached, reason),
            Ok(Err(Error::MaybeRun(reason))) => {
                self.possible_runs += 1;
                dispatch
                    .record_break(&self.request, self.fingerprint, true)
                    .await;
                (Outcome::Broke, reason)
            }
            Ok(Ok(received)) => {
                let (head, body) = received.response.into_parts();
                let metadata = self.context.protocol.decode_response(&head);
                dispatch.record_notices(&metadata);
                dispatch.record_limit(&self.request.id, &metadata);
                let is_own = metadata.belongs_to(&self.request.id, received.is_new);
                if is_own && !metadata.misdirected {
                    dispatch.record_answer(&received.connection);
                }
                if is_own && metadata.signed && !metadata.encoded && head.status.is_success() {
                    self.possible_runs += 1;
                    return Some(Upstream::new(
                        dispatch,
                        body,
                        received.connection,
                        &head,
                        last_id,
                    ));
                }
                if !is_own || !metadata.not_run && !metadata.misdirected {
                    self.possible_runs += 1;
                }
                let outcome = metadata.declined_outcome(&self.request);
                (outcome, format!("status {}", head.status))
            }
        };
        log_outcome(
            &self.context,
            &self.request.id,
            &dispatch,
            "not resumed",
            &reason,
            self.arrived,
        );
        dispatch.end(outcome);
        None
    }
}
