use conf::Number;
use fault::ErrorKind;
use gate::Status;
use tokio::time::Instant;
use wire::Request;

use super::{Event, MESSAGE_DELAY, PROBE_INTERVAL, Simulator, request_name};
use crate::simulation::{
    engine::{Output, RESTART_TIME},
    plan,
    summary::Summary,
};

/// # Agents and engines
impl Simulator {
    pub(super) fn send_hint(&mut self, entry: usize, agent: usize) {
        let endpoint = self.agents[agent].name.clone();
        let hint = self.agents[agent].policy.hint();
        let event = route::Event::Hint { endpoint, hint };
        self.schedule(MESSAGE_DELAY, Event::Deliver { entry, event });
    }

    pub(super) fn deliver_offer(
        &mut self,
        agent: usize,
        request: usize,
        attempt: u32,
        version: Number,
    ) {
        let call = &self.requests[request];
        let outcome = &self.outcomes[request];
        let offer = gate::Event::Offer(gate::Descriptor {
            request: request_name(request, call.submissions),
            attempt,
            service: call.service.into(),
            team: outcome.team.into(),
            priority: outcome.priority,
            repeatable: call.service == "drafts",
            fingerprint: request as u64,
            deadline: call.deadline,
            version,
        });
        self.handle_agent_event(agent, offer);
    }

    pub(super) fn handle_agent_event(&mut self, agent: usize, event: gate::Event) {
        for action in self.agents[agent].policy.handle(event, self.now) {
            let (target, attempt) = action.target();
            let Some(request) = self.request_index(target) else {
                continue;
            };
            let name = target.clone();
            let entry = self.requests[request].entry;
            self.send_hint(entry, agent);
            let event = match action {
                gate::Action::Admit { .. } => {
                    self.start_attempt(agent, request, attempt);
                    route::Event::Admitted {
                        request: name,
                        attempt,
                    }
                }
                gate::Action::Refuse { fault, .. } => {
                    self.agent_refusals.push(self.now - self.started_at);
                    route::Event::Refused {
                        request: name,
                        attempt,
                        fault,
                    }
                }
            };
            self.schedule(MESSAGE_DELAY, Event::Deliver { entry, event });
        }
    }

    /// Adds an admitted attempt to the engine's batch.
    pub(super) fn start_attempt(&mut self, agent: usize, request: usize, attempt: u32) {
        if let Some(outage) = self.plan.outage {
            let elapsed = self.now - self.started_at;
            if self.agents[agent].zone == "c"
                && elapsed > outage.zone_out
                && elapsed < outage.zone_in
            {
                self.last_admission_in_zone_out = Some(elapsed - outage.zone_out);
            }
        }
        let call = &self.requests[request];
        let (prefix, tokens) = (call.prefixes.last().copied().unwrap_or(0), call.tokens);
        let engine = &mut self.agents[agent].engine;
        if !engine.is_up(self.now) {
            self.fail_attempt(agent, request, attempt);
            return;
        }
        if engine.add(request, attempt, prefix, tokens, self.now) {
            engine.crashes += 1;
            self.stop_engine(agent, Some(self.now + RESTART_TIME));
        } else if !engine.step_pending {
            self.schedule_step(agent);
        }
    }

    pub(super) fn schedule_step(&mut self, agent: usize) {
        let engine = &mut self.agents[agent].engine;
        engine.step_pending = !engine.batch.is_empty();
        if engine.step_pending {
            let (time, generation) = (engine.step_time(), engine.generation);
            self.schedule(time, Event::Step { agent, generation });
        }
    }

    pub(super) fn step(&mut self, agent: usize, generation: u64) {
        if self.agents[agent].engine.generation != generation {
            return;
        }
        self.cancel_expired(agent);
        for output in self.agents[agent].engine.step() {
            match output {
                Output::FirstToken(sequence) => {
                    self.record_first_token(agent, sequence.request, sequence.attempt);
                }
                Output::Completed(sequence) => {
                    self.complete(agent, sequence.request, sequence.attempt);
                }
            }
        }
        self.schedule_step(agent);
    }

    /// Cancels the attempts whose deadline has passed, as the agent does.
    pub(super) fn cancel_expired(&mut self, agent: usize) {
        let batch = std::mem::take(&mut self.agents[agent].engine.batch);
        let (kept, expired): (Vec<_>, Vec<_>) = batch
            .into_iter()
            .partition(|sequence| self.requests[sequence.request].deadline > self.now);
        self.agents[agent].engine.batch = kept;
        for sequence in expired {
            let Some(name) = self.current_name(sequence.request, sequence.attempt) else {
                continue;
            };
            self.outcomes[sequence.request].truncated = true;
            self.cancel(agent, name.clone(), sequence.attempt);
            let entry = self.requests[sequence.request].entry;
            let event = route::Event::Ended { request: name };
            self.schedule(MESSAGE_DELAY, Event::Deliver { entry, event });
        }
    }

    pub(super) fn cancel(&mut self, agent: usize, request: Request, attempt: u32) {
        let outcome = gate::Outcome::Cancelled;
        let event = gate::Event::Finished {
            request,
            attempt,
            outcome,
        };
        self.handle_agent_event(agent, event);
    }

    /// Returns the name of a request's current submission if its last attempt is `attempt`.
    pub(super) fn current_name(&self, request: usize, attempt: u32) -> Option<Request> {
        let call = &self.requests[request];
        (call.attempt == attempt).then(|| request_name(request, call.submissions))
    }

    pub(super) fn record_first_token(&mut self, agent: usize, request: usize, attempt: u32) {
        let Some(name) = self.current_name(request, attempt) else {
            return;
        };
        let elapsed = self.now - self.started_at;
        self.outcomes[request].first_token.get_or_insert(elapsed);
        let event = gate::Event::FirstChunk {
            request: name.clone(),
            attempt,
        };
        self.handle_agent_event(agent, event);
        let entry = self.requests[request].entry;
        let event = route::Event::Progress {
            request: name,
            attempt,
        };
        self.schedule(MESSAGE_DELAY, Event::Deliver { entry, event });
    }

    pub(super) fn complete(&mut self, agent: usize, request: usize, attempt: u32) {
        let Some(name) = self.current_name(request, attempt) else {
            return;
        };
        let elapsed = self.now - self.started_at;
        self.outcomes[request].answered = Some(elapsed);
        let outcome = gate::Outcome::Done;
        let event = gate::Event::Finished {
            request: name.clone(),
            attempt,
            outcome,
        };
        self.handle_agent_event(agent, event);
        let entry = self.requests[request].entry;
        let event = route::Event::Ended { request: name };
        self.schedule(MESSAGE_DELAY, Event::Deliver { entry, event });
    }

    /// Reports an attempt as interrupted, or ends the request if its answer had begun.
    pub(super) fn fail_attempt(&mut self, agent: usize, request: usize, attempt: u32) {
        let Some(name) = self.current_name(request, attempt) else {
            return;
        };
        let outcome = gate::Outcome::Disconnected;
        let event = gate::Event::Finished {
            request: name.clone(),
            attempt,
            outcome,
        };
        self.handle_agent_event(agent, event);
        let entry = self.requests[request].entry;
        let event = if self.outcomes[request].first_token.is_some() {
            self.outcomes[request].truncated = true;
            route::Event::Ended { request: name }
        } else {
            let fault = ErrorKind::Interrupted.into();
            let replayable = true;
            route::Event::Interrupted {
                request: name,
                attempt,
                fault,
                replayable,
            }
        };
        self.schedule(MESSAGE_DELAY, Event::Deliver { entry, event });
    }

    /// Removes an attempt that its entry has abandoned.
    pub(super) fn cancel_abandoned(&mut self, request: usize, attempt: u32) {
        let name = request_name(request, self.requests[request].submissions);
        for agent in 0..self.agents.len() {
            let batch = &mut self.agents[agent].engine.batch;
            let before = batch.len();
            batch.retain(|sequence| sequence.request != request || sequence.attempt != attempt);
            if batch.len() < before {
                self.cancel(agent, name.clone(), attempt);
            }
        }
    }

    pub(super) fn stop_engine(&mut self, agent: usize, restart_at: Option<Instant>) {
        let engine = &mut self.agents[agent].engine;
        engine.step_pending = false;
        for sequence in engine.stop(restart_at) {
            self.fail_attempt(agent, sequence.request, sequence.attempt);
        }
    }

    pub(super) fn stop_zone(&mut self) {
        for agent in 0..self.agents.len() {
            if self.agents[agent].zone == "c" {
                self.stop_engine(agent, None);
            }
        }
    }

    pub(super) fn start_zone(&mut self) {
        for agent in 0..self.agents.len() {
            if self.agents[agent].zone == "c" {
                self.agents[agent].engine.up_at = Some(self.now);
            }
        }
    }

    pub(super) fn probe(&mut self, agent: usize) {
        let engine = &self.agents[agent].engine;
        let current = engine.is_up(self.now).then_some(engine.generation);
        let running = u32::try_from(engine.batch.len()).unwrap_or(u32::MAX);
        let previous = std::mem::replace(&mut self.agents[agent].probed_generation, current);
        let mut statuses = Vec::new();
        match (previous, current) {
            (_, None) => statuses.push(Status::Down),
            (Some(old), Some(new)) if old != new => statuses.push(Status::Restarted),
            (None, Some(_)) => statuses.push(Status::Up),
            _ => {}
        }
        if current.is_some() {
            statuses.push(Status::Load { running, queued: 0 });
        }
        for status in statuses {
            self.handle_agent_event(agent, gate::Event::Status(status));
        }
        self.schedule(PROBE_INTERVAL, Event::Probe(agent));
    }

    pub(super) fn summary(self) -> Summary {
        let engines = self.agents.iter().map(|a| &a.engine);
        let drafts = engines.clone().filter(|e| e.limit == plan::DRAFT_LIMIT);
        let (hits, misses) =
            drafts.fold((0, 0), |(h, m), e| (h + e.cache_hits, m + e.cache_misses));
        Summary {
            outcomes: self.outcomes,
            agent_refusals: self.agent_refusals,
            crashes: engines.clone().map(|e| e.crashes).sum(),
            max_excess: engines.map(|e| e.max_excess).max().unwrap_or(0),
            prefix_hit_ratio: hits as f64 / (hits + misses).max(1) as f64,
            slowest_rejection: self.slowest_rejection,
            full_limits_after: self.full_limits_after,
            last_admission_in_zone_out: self.last_admission_in_zone_out,
        }
    }
}
