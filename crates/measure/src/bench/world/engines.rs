use conf::Number;
use fault::ErrorKind;
use gate::Status;
use tokio::time::Instant;
use wire::Request;

use super::{Event, PROBE, WIRE, World, name};
use crate::bench::{
    engine::{AWAY, Step},
    plan,
    tally::Tally,
};

/// # Agents and engines
impl World {
    pub(super) fn hint(&mut self, entry: usize, agent: usize) {
        let endpoint = self.agents[agent].name.clone();
        let hint = self.agents[agent].policy.hint();
        let event = route::Event::Hint { endpoint, hint };
        self.push(WIRE, Event::Tell { entry, event });
    }

    pub(super) fn offer(&mut self, agent: usize, request: usize, attempt: u32, version: Number) {
        let ask = &self.requests[request];
        let outcome = &self.outcomes[request];
        let offer = gate::Event::Offer(gate::Descriptor {
            request: name(request, ask.sends),
            attempt,
            service: ask.service.into(),
            team: outcome.team.into(),
            priority: outcome.priority,
            repeatable: ask.service == "drafts",
            fingerprint: request as u64,
            deadline: ask.deadline,
            version,
        });
        self.tell_agent(agent, offer);
    }

    pub(super) fn tell_agent(&mut self, agent: usize, event: gate::Event) {
        for action in self.agents[agent].policy.handle(event, self.now) {
            let (target, attempt) = action.target();
            let Some(request) = self.number(target) else {
                continue;
            };
            let name = target.clone();
            let entry = self.requests[request].entry;
            self.hint(entry, agent);
            let event = match action {
                gate::Action::Admit { .. } => {
                    self.admit(agent, request, attempt);
                    route::Event::Admitted {
                        request: name,
                        attempt,
                    }
                }
                gate::Action::Refuse { fault, .. } => {
                    self.agent_refusals.push(self.now - self.begin);
                    route::Event::Refused {
                        request: name,
                        attempt,
                        fault,
                    }
                }
            };
            self.push(WIRE, Event::Tell { entry, event });
        }
    }

    pub(super) fn admit(&mut self, agent: usize, request: usize, attempt: u32) {
        if let Some(outage) = self.plan.outage {
            let since = self.now - self.begin;
            if self.agents[agent].zone == "c" && since > outage.out && since < outage.back {
                self.last_out = Some(since - outage.out);
            }
        }
        let ask = &self.requests[request];
        let (prefix, tokens) = (ask.prefix.last().copied().unwrap_or(0), ask.tokens);
        let engine = &mut self.agents[agent].engine;
        if !engine.is_up(self.now) {
            self.broken(agent, request, attempt);
            return;
        }
        if engine.add(request, attempt, prefix, tokens, self.now) {
            engine.deaths += 1;
            self.kill(agent, Some(self.now + AWAY));
        } else if !engine.stepping {
            self.plan_step(agent);
        }
    }

    pub(super) fn plan_step(&mut self, agent: usize) {
        let engine = &mut self.agents[agent].engine;
        engine.stepping = !engine.batch.is_empty();
        if engine.stepping {
            let (time, boot) = (engine.step_time(), engine.boot);
            self.push(time, Event::Step { agent, boot });
        }
    }

    pub(super) fn step(&mut self, agent: usize, boot: u64) {
        if self.agents[agent].engine.boot != boot {
            return;
        }
        self.expire(agent);
        for step in self.agents[agent].engine.step() {
            match step {
                Step::First(work) => self.first(agent, work.request, work.attempt),
                Step::End(work) => self.end(agent, work.request, work.attempt),
            }
        }
        self.plan_step(agent);
    }

    /// Cancels what has passed its deadline, as the agent does.
    pub(super) fn expire(&mut self, agent: usize) {
        let batch = std::mem::take(&mut self.agents[agent].engine.batch);
        let (kept, late): (Vec<_>, Vec<_>) = batch
            .into_iter()
            .partition(|work| self.requests[work.request].deadline > self.now);
        self.agents[agent].engine.batch = kept;
        for work in late {
            let Some(name) = self.wanted(work.request, work.attempt) else {
                continue;
            };
            self.outcomes[work.request].cut = true;
            self.cancel(agent, name.clone(), work.attempt);
            let entry = self.requests[work.request].entry;
            let event = route::Event::Ended { request: name };
            self.push(WIRE, Event::Tell { entry, event });
        }
    }

    pub(super) fn cancel(&mut self, agent: usize, request: Request, attempt: u32) {
        let outcome = gate::Outcome::Cancelled;
        let event = gate::Event::Finished {
            request,
            attempt,
            outcome,
        };
        self.tell_agent(agent, event);
    }

    /// Returns the name of a request if an attempt at it is still wanted.
    pub(super) fn wanted(&self, request: usize, attempt: u32) -> Option<Request> {
        let ask = &self.requests[request];
        (ask.attempt == attempt).then(|| name(request, ask.sends))
    }

    pub(super) fn first(&mut self, agent: usize, request: usize, attempt: u32) {
        let Some(name) = self.wanted(request, attempt) else {
            return;
        };
        let since = self.now - self.begin;
        self.outcomes[request].first.get_or_insert(since);
        let first = gate::Event::FirstChunk {
            request: name.clone(),
            attempt,
        };
        self.tell_agent(agent, first);
        let entry = self.requests[request].entry;
        let event = route::Event::Progress {
            request: name,
            attempt,
        };
        self.push(WIRE, Event::Tell { entry, event });
    }

    pub(super) fn end(&mut self, agent: usize, request: usize, attempt: u32) {
        let Some(name) = self.wanted(request, attempt) else {
            return;
        };
        let since = self.now - self.begin;
        self.outcomes[request].answered = Some(since);
        let outcome = gate::Outcome::Done;
        let event = gate::Event::Finished {
            request: name.clone(),
            attempt,
            outcome,
        };
        self.tell_agent(agent, event);
        let entry = self.requests[request].entry;
        let event = route::Event::Ended { request: name };
        self.push(WIRE, Event::Tell { entry, event });
    }

    pub(super) fn broken(&mut self, agent: usize, request: usize, attempt: u32) {
        let Some(name) = self.wanted(request, attempt) else {
            return;
        };
        let outcome = gate::Outcome::Disconnected;
        let event = gate::Event::Finished {
            request: name.clone(),
            attempt,
            outcome,
        };
        self.tell_agent(agent, event);
        let entry = self.requests[request].entry;
        let event = if self.outcomes[request].first.is_some() {
            self.outcomes[request].cut = true;
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
        self.push(WIRE, Event::Tell { entry, event });
    }

    pub(super) fn abandon(&mut self, request: usize, attempt: u32) {
        let name = name(request, self.requests[request].sends);
        for agent in 0..self.agents.len() {
            let batch = &mut self.agents[agent].engine.batch;
            let before = batch.len();
            batch.retain(|work| work.request != request || work.attempt != attempt);
            if batch.len() < before {
                self.cancel(agent, name.clone(), attempt);
            }
        }
    }

    pub(super) fn kill(&mut self, agent: usize, back: Option<Instant>) {
        let engine = &mut self.agents[agent].engine;
        engine.stepping = false;
        for work in engine.die(back) {
            self.broken(agent, work.request, work.attempt);
        }
    }

    pub(super) fn stop(&mut self) {
        for agent in 0..self.agents.len() {
            if self.agents[agent].zone == "c" {
                self.kill(agent, None);
            }
        }
    }

    pub(super) fn start(&mut self) {
        for agent in 0..self.agents.len() {
            if self.agents[agent].zone == "c" {
                self.agents[agent].engine.up = Some(self.now);
            }
        }
    }

    pub(super) fn probe(&mut self, agent: usize) {
        let engine = &self.agents[agent].engine;
        let up = engine.is_up(self.now).then_some(engine.boot);
        let running = u32::try_from(engine.batch.len()).unwrap_or(u32::MAX);
        let seen = std::mem::replace(&mut self.agents[agent].seen, up);
        let mut signs = Vec::new();
        match (seen, up) {
            (_, None) => signs.push(Status::Down),
            (Some(old), Some(new)) if old != new => signs.push(Status::Restarted),
            (None, Some(_)) => signs.push(Status::Up),
            _ => {}
        }
        if up.is_some() {
            signs.push(Status::Load { running, queued: 0 });
        }
        for sign in signs {
            self.tell_agent(agent, gate::Event::Status(sign));
        }
        self.push(PROBE, Event::Probe(agent));
    }

    pub(super) fn tally(self) -> Tally {
        let engines = self.agents.iter().map(|a| &a.engine);
        let drafts = engines.clone().filter(|e| e.limit == plan::DRAFTS);
        let (hits, misses) = drafts.fold((0, 0), |(h, m), e| (h + e.hits, m + e.misses));
        Tally {
            outcomes: self.outcomes,
            agent_refusals: self.agent_refusals,
            deaths: engines.clone().map(|e| e.deaths).sum(),
            over: engines.map(|e| e.over).max().unwrap_or(0),
            hits: hits as f64 / (hits + misses).max(1) as f64,
            slowest_refusal: self.slowest_refusal,
            full_again: self.full_again,
            last_out: self.last_out,
        }
    }
}
