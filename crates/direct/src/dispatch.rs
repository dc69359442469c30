use std::{sync::Arc, time::Duration};

use conf::id;
use smol_str::SmolStr;
use tokio::time::Instant;

use crate::{
    Fingerprint, Outcome, Placement, Spill,
    blame::list_parts,
    call::{Context, millis},
    limits::Change,
    metadata,
    pool::{Connection, MAX_IDLE_TIMEOUT},
};

/// Logs how an attempt ended and counts it in the metrics.
pub(crate) fn log_outcome(
    context: &Context,
    id: &SmolStr,
    dispatch: &Dispatch,
    outcome: &str,
    reason: &str,
    arrived: Instant,
) {
    context.metrics.sends.with_label_values(&[outcome]).inc();
    log::info!(
        request:% = id,
        endpoint:% = dispatch.placement.endpoint,
        outcome = outcome,
        reason = reason,
        age_ms = millis(arrived.elapsed());
        "send ended"
    );
}

/// Logs how much of the retry budget was used before an attempt, if that is a retry.
pub(crate) fn log_retry(id: &SmolStr, placement: &Placement) {
    let Some(balance) = placement.retry else {
        return;
    };
    log::info!(
        request:% = id,
        service:% = placement.service,
        retries = balance.retries,
        requests = balance.requests,
        allowed = balance.allowed;
        "retry granted"
    );
}

/// Logs how the knowledge of an endpoint's limit changed, and updates the metrics; `limited` endpoints state one.
pub(crate) fn log_limit(
    context: &Context,
    endpoint: &id::Endpoint,
    change: &Change,
    source: &str,
    limited: usize,
) {
    match change {
        Change::Limited(rate) => {
            log::info!(endpoint:% = endpoint, rate = rate, source = source; "endpoint states a limit");
        }
        Change::Ended => {
            log::info!(endpoint:% = endpoint, source = source; "endpoint no longer states a limit");
        }
        Change::Unreadable(text) => {
            log::warn!(endpoint:% = endpoint, limit:% = text, source = source; "limit cannot be read");
        }
    }
    let limited = i64::try_from(limited).unwrap_or(i64::MAX);
    context.metrics.limited.set(limited);
}

/// Logs a change of the share of a service's requests that leaves the zone.
pub(crate) fn log_spill(spill: &Spill) {
    log::info!(
        service:% = spill.service,
        share = spill.share,
        own_load = spill.balance.own_load,
        own_capacity = spill.balance.own_capacity,
        spare_elsewhere = spill.balance.spare_elsewhere;
        "share of requests sent to other zones"
    );
}

/// Request dispatched to an endpoint; it counts towards the endpoint's load until it ends or is
/// dropped.
pub(crate) struct Dispatch {
    context: Arc<Context>,
    pub(crate) placement: Placement,
    /// Whether the endpoint has begun to answer.
    answered: bool,
    started: bool,
    ended: bool,
}

impl Dispatch {
    pub(crate) fn new(context: Arc<Context>, placement: Placement) -> Self {
        if placement.other_zone {
            context.metrics.other_zone_sends.inc();
        }
        Self {
            context,
            placement,
            answered: false,
            started: false,
            ended: false,
        }
    }

    /// Records that part of the response was received.
    pub(crate) fn record_progress(&self) {
        let now = Instant::now();
        self.context
            .with_balancer(|balancer| balancer.record_progress(&self.placement, now));
    }

    /// Records the time between two events of the response.
    pub(crate) fn record_gap(&self, gap: Duration, now: Instant) {
        let view = self.context.view.borrow().clone();
        let reading = self
            .context
            .with_balancer(|balancer| balancer.record_gap(&view, &self.placement, gap, now));
        if let Some(error) = reading.error {
            let error = error.as_secs_f64();
            self.context.metrics.pass_error.observe(error);
        }
        if let Some(comfort) = reading.comfort {
            log::info!(
                service:% = comfort.service,
                group:% = comfort.group.unwrap_or_default(),
                excess_ms = millis(comfort.excess),
                comfortable_load = comfort.load,
                pass_ms = millis(comfort.pass);
                "comfortable load of a group has changed"
            );
        }
    }

    /// Records that the response has started, or the attempt has ended without one; later calls do nothing.
    pub(crate) fn record_start(&mut self) {
        if !std::mem::replace(&mut self.started, true) {
            let now = Instant::now();
            self.context.with_balancer(|balancer| {
                balancer.record_response_start(&self.placement);
                balancer.record_arrival(&self.placement, now);
            });
        }
    }

    /// Records that the endpoint has answered on a connection.
    pub(crate) fn record_answer(&mut self, connection: &Connection) {
        self.answered = true;
        let (opened_at, now) = (connection.opened_at(), Instant::now());
        self.context
            .with_balancer(|balancer| balancer.record_answer(&self.placement, opened_at, now));
    }

    /// Records what the endpoint states about itself in the head of a response.
    pub(crate) fn record_notices(&self, metadata: &metadata::Response) {
        // Another endpoint at the same address speaks of itself only.
        let leaving = metadata.leaving && !metadata.misdirected;
        if !leaving && metadata.pause.is_none() {
            return;
        }
        let (now, endpoint) = (Instant::now(), &self.placement.endpoint);
        self.context.with_balancer(|balancer| {
            if leaving && balancer.record_leaving(&self.placement, now) {
                log::info!(endpoint:% = endpoint; "endpoint is leaving");
            }
            if let Some(pause) = metadata.pause {
                log::info!(endpoint:% = endpoint, pause_ms = millis(pause); "endpoint asked for a pause");
                balancer.record_pause(&self.placement, pause, now);
            }
        });
    }

    /// Records what the answer to a request states about its endpoint's limit.
    pub(crate) fn record_limit(&self, request: &SmolStr, metadata: &metadata::Response) {
        // An answer to another request may be an old one, and other bytes say nothing of the endpoint.
        let is_own = metadata.request_id.as_ref() == Some(request);
        if metadata.misdirected || !is_own || !(metadata.signed || metadata.not_run) {
            return;
        }
        let (change, limited) = self.context.with_balancer(|balancer| {
            let change = balancer.record_limit(&self.placement, &metadata.limit, Instant::now());
            (change, balancer.limits().count())
        });
        if let Some(change) = change {
            let source = format!("request {request}");
            log_limit(
                &self.context,
                &self.placement.endpoint,
                &change,
                &source,
                limited,
            );
        }
    }

    /// Records and logs that the connection broke before the answer was whole; `is_repeat` if the request had been
    /// sent on after another break.
    ///
    /// While earlier crashes may be unknown, the request is refused if the endpoint has ended.
    pub(crate) async fn record_break(
        &self,
        request: &metadata::Request,
        fingerprint: Fingerprint,
        is_repeat: bool,
    ) {
        log::info!(
            request:% = request.id,
            endpoint:% = self.placement.endpoint,
            fingerprint:% = format!("{fingerprint:016x}"),
            parts:% = list_parts(&request.shared_parts),
            repeat = is_repeat;
            "connection broke during a run"
        );
        let (parts, now) = (&request.shared_parts, Instant::now());
        // A kept connection may have been lost since its last use.
        let sent_at = self.placement.chosen_at;
        let alive_at = match self.answered {
            true => sent_at,
            false => sent_at.checked_sub(MAX_IDLE_TIMEOUT).unwrap_or(sent_at),
        };
        self.context.with_balancer(|balancer| {
            balancer.record_lost_connection(&self.placement, alive_at, now);
            balancer.record_break(&self.placement, fingerprint, parts, is_repeat, now);
        });
        let Placement {
            endpoint,
            address,
            service,
            ..
        } = &self.placement;
        let is_cautious = self
            .context
            .with_balancer(|balancer| balancer.is_cautious(service, now));
        if !is_cautious {
            return;
        }
        let is_alive = self.context.pool.is_alive(*address).await;
        log::info!(request:% = request.id, endpoint:% = endpoint, alive = is_alive; "endpoint probed after a break");
        if !is_alive {
            let now = Instant::now();
            self.context
                .with_balancer(|balancer| balancer.refuse_early(fingerprint, now));
        }
    }

    /// Records that the endpoint has written the whole answer to a request.
    pub(crate) fn record_sound(&self, request: &metadata::Request, fingerprint: Fingerprint) {
        // The run of a stream that goes on after an event may leave out what crashes endpoints.
        if request.last_event.is_some() {
            return;
        }
        let (parts, now) = (&request.shared_parts, Instant::now());
        self.context
            .with_balancer(|balancer| balancer.record_sound(fingerprint, parts, now));
    }

    /// Ends the request with an outcome.
    pub(crate) fn end(mut self, outcome: Outcome) {
        self.record_end(outcome);
    }

    fn record_end(&mut self, outcome: Outcome) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        self.record_start();
        let now = Instant::now();
        let ejected = self
            .context
            .with_balancer(|balancer| balancer.record_outcome(&self.placement, outcome, now));
        if ejected {
            log::warn!(endpoint:% = self.placement.endpoint, outcome:? = outcome; "endpoint is temporarily ejected");
        }
    }

    /// Returns the connection to the pool for the next request.
    pub(crate) fn return_connection(&self, connection: Connection, keep_alive: Option<Duration>) {
        self.context.pool.put(connection, keep_alive);
    }
}

impl Drop for Dispatch {
    fn drop(&mut self) {
        self.record_end(Outcome::Dropped);
    }
}
