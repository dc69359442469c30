//! How attempts ended, and what endpoints stated meanwhile.

use std::time::Duration;

use conf::id;
use fleet::{Endpoint, Registration, View};
use smol_str::SmolStr;
use tokio::time::Instant;

use super::{Balancer, Outcome, Placement};
use crate::{Answer, Evicted, Fingerprint, Part, Verdict, limits, metadata::Limit};

/// # Outcomes of attempts
impl Balancer {
    /// Records that part of a response was received.
    pub fn record_progress(&mut self, placement: &Placement, now: Instant) {
        self.loads.record_progress(&placement.endpoint, now);
    }

    /// Records that a response has started, so that its prompt is no longer pending.
    pub fn record_response_start(&mut self, placement: &Placement) {
        self.loads
            .record_response_start(&placement.endpoint, placement.prompt_tokens);
    }

    /// Records that an attempt was answered or given up; a retry has arrived by now, if it ever does.
    pub fn record_arrival(&mut self, placement: &Placement, now: Instant) {
        if placement.retry.is_some() {
            self.budget.record_arrival(&placement.service, now);
        }
    }

    /// Records how an attempt ended; returns whether the endpoint is now ejected.
    pub fn record_outcome(
        &mut self,
        placement: &Placement,
        outcome: Outcome,
        now: Instant,
    ) -> bool {
        let id = &placement.endpoint;
        self.loads.record_end(id);
        match outcome {
            Outcome::Whole => {
                let duration = now.duration_since(placement.chosen_at);
                self.admission
                    .record_duration(&placement.service, duration, now);
                self.latency.record(&placement.service, id, duration, now);
                self.health.record_success(id);
                self.stalls.record_success(id, now);
            }
            Outcome::Failed => self.health.record_error(id),
            Outcome::Misdirected => {
                self.blame.record_end(id, placement.incarnation, now);
                self.health.record_missing(id, now);
                return true;
            }
            Outcome::Unreached => {
                self.record_lost_connection(placement, placement.chosen_at, now);
                self.blame.record_end(id, placement.incarnation, now);
                return self.health.record_connection_failure(id, now);
            }
            Outcome::Broke => {
                return self.health.record_connection_failure(id, now);
            }
            Outcome::Declined => self.health.record_declined(id, now),
            Outcome::Dropped => {}
        }
        false
    }

    /// Records that an endpoint has begun to answer, on a connection that was set up at `opened_at`.
    pub fn record_answer(&mut self, placement: &Placement, opened_at: Instant, now: Instant) {
        let answer = Answer {
            opened_at,
            sent_at: placement.chosen_at,
            at: now,
        };
        self.restarts.record_answer(&placement.endpoint, answer);
    }

    /// Records that the connection of an attempt was lost, or could not be set up; the endpoint was certainly in its
    /// earlier run at `alive_at`.
    pub fn record_lost_connection(
        &mut self,
        placement: &Placement,
        alive_at: Instant,
        now: Instant,
    ) {
        let Placement {
            endpoint,
            incarnation,
            ..
        } = placement;
        self.restarts
            .record_loss(endpoint, *incarnation, alive_at, now);
    }

    /// Returns the endpoints that may have restarted, as was found since the last call.
    pub fn take_restarts(&mut self) -> Vec<id::Endpoint> {
        self.restarts.take_found()
    }

    /// Records how long a request of a route took, from its arrival to the end of the answer.
    pub fn record_duration(&mut self, route: &SmolStr, duration: Duration, now: Instant) {
        self.durations.record(route, duration, now);
    }

    /// Returns the time within which the requests of a route are usually complete, if that is known.
    #[must_use]
    pub fn usual_duration(&self, route: &str) -> Option<Duration> {
        self.durations.usual(route)
    }

    /// Records that the endpoint of a placement stated that it is leaving; returns false if that was
    /// known.
    pub fn record_leaving(&mut self, placement: &Placement, now: Instant) -> bool {
        self.departures
            .record(&placement.endpoint, placement.incarnation, now)
    }

    /// Records that an endpoint asked this entry to send nothing for some time.
    pub fn record_pause(&mut self, placement: &Placement, pause: Duration, now: Instant) {
        self.pauses.record(&placement.endpoint, pause, now);
    }

    /// Records what an answer states about its endpoint's limit; returns what that changes.
    pub fn record_limit(
        &mut self,
        placement: &Placement,
        limit: &Limit,
        now: Instant,
    ) -> Option<limits::Change> {
        let Placement {
            endpoint,
            incarnation,
            chosen_at,
            ..
        } = placement;
        self.limits
            .record_answer(endpoint, *incarnation, limit, *chosen_at, now)
    }

    /// Records that a connection broke before the answer was whole; `is_repeat` if the request had been sent on
    /// after another break.
    pub fn record_break(
        &mut self,
        placement: &Placement,
        fingerprint: Fingerprint,
        shared_parts: &[Part],
        is_repeat: bool,
        now: Instant,
    ) {
        let Placement {
            endpoint,
            incarnation,
            ..
        } = placement;
        self.suspects
            .record_break(endpoint, *incarnation, &[fingerprint], is_repeat, now);
        self.blame
            .record_break(endpoint, *incarnation, shared_parts, is_repeat, now);
    }

    /// Returns whether endpoints of a service may have crashed under requests before this entry started, unknown to it.
    #[must_use]
    pub fn is_cautious(&self, service: &str, now: Instant) -> bool {
        self.caution.applies(service, now)
    }

    /// Records that an endpoint has ended under a request, while crashes before it may be unknown.
    pub fn refuse_early(&mut self, fingerprint: Fingerprint, now: Instant) {
        self.suspects.refuse_early(&[fingerprint], now);
    }

    /// Records which services have endpoints that started anew before this entry; returns those that were not known to.
    /// `unix_time` is the time since the Unix epoch.
    pub fn observe_starts(
        &mut self,
        view: &View,
        unix_time: Duration,
        now: Instant,
    ) -> Vec<id::Service> {
        self.caution.observe(view, unix_time, now)
    }

    /// Records that an endpoint has written the whole answer to a request with these parts in its prompt.
    pub fn record_sound(&mut self, fingerprint: Fingerprint, shared_parts: &[Part], now: Instant) {
        self.suspects.record_sound(&[fingerprint], now);
        self.blame.record_sound(shared_parts, now);
    }

    /// Returns the prompt parts that are refused, or no longer, since the last call.
    pub fn take_part_verdicts(&mut self) -> Vec<Verdict<Part>> {
        self.blame.take_verdicts()
    }

    /// Returns how much of what is known of crashes was forgotten for lack of room.
    #[must_use]
    pub fn evicted(&self) -> Evicted {
        let (requests, parts) = (self.suspects.evicted(), self.blame.evicted());
        Evicted {
            answers: requests.answers + parts.answers,
            breaks: requests.breaks + parts.breaks,
            suspects: requests.suspects + parts.suspects,
        }
    }

    /// Returns the requests that are refused, or no longer, since the last call.
    pub fn take_request_verdicts(&mut self) -> Vec<Verdict<Fingerprint>> {
        self.suspects.take_verdicts()
    }

    /// Records that an endpoint's group is stalled by the loss of the rank `at_fault`, an endpoint id or
    /// address.
    pub fn record_stall(
        &mut self,
        view: &View,
        endpoint: &id::Endpoint,
        at_fault: &str,
        now: Instant,
    ) {
        let declined = view
            .endpoints
            .get(endpoint)
            .map(|known| known.endpoint.address);
        let matches = |(id, known): &(&id::Endpoint, &Registration)| {
            id.as_str() == at_fault || known.endpoint.address.to_string() == at_fault
        };
        let found = view.endpoints.iter().find(matches);
        // An endpoint that declines may name itself, although another one has ended.
        if let Some((id, known)) = found.filter(|(id, _)| *id != endpoint) {
            self.blame.record_end(id, known.endpoint.started_ms, now);
        }
        if declined.is_some_and(|engine| self.groups.record_declined(engine, now)) {
            return;
        }
        // The lost rank may already be unknown; the endpoint that declined is still known.
        let lost = found.map_or_else(|| endpoint.clone(), |(id, _)| id.clone());
        self.stalls.record_declined(endpoint, &lost, now);
    }

    /// Removes the state of endpoints and services that are not in `view`.
    pub fn retain_known(&mut self, view: &View, now: Instant) {
        let known = |id: &id::Endpoint| view.endpoints.contains_key(id);
        let services = view.configuration.as_ref().map(|c| &c.services);
        let cold_times = services.into_iter().flatten().map(|(_, s)| s.cold_time);
        let longest = cold_times.max().unwrap_or_default();
        self.restarts.retain(known, longest, now);
        let restarts = &self.restarts;
        let is_cold = |id: &id::Endpoint| {
            view.endpoints.get(id).is_some_and(|known| {
                let Endpoint {
                    service,
                    started_ms,
                    ..
                } = &*known.endpoint;
                let service = services.and_then(|services| services.get(service));
                let cold_time = service.map_or(Duration::ZERO, |s| s.cold_time);
                known.cold_until > now || restarts.may_be_cold(id, *started_ms, cold_time, now)
            })
        };
        for (id, incarnation) in self.blame.doubtful_endpoints() {
            let registration = view.endpoints.get(&id);
            if registration.is_none_or(|r| r.endpoint.started_ms != incarnation) {
                self.blame.record_end(&id, incarnation, now);
            }
        }
        self.blame.expire(now);
        self.suspects.expire(now);
        self.loads.retain(known);
        self.health.retain(known);
        self.cold.retain(is_cold);
        self.stalls.retain(known);
        self.limits.retain(known, now);
        self.departures.retain(known, now);
        self.budget.remove_expired(now);
        self.pauses.remove_expired(now);
        self.passes.remove_expired(now);
        self.latency.retain(known);
        self.locality.expire(now);
        if let Some(configuration) = &view.configuration {
            let is_configured =
                |service: &id::Service| configuration.services.contains_key(service);
            self.admission.retain(is_configured);
            self.spills.retain(is_configured);
        }
    }
}
