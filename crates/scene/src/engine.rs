use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use conf::id;
use event::Kind;
use fault::ErrorKind;
use gate::{Event, Outcome, Status};
use once::{Answer, Verifier};
use wire::{Head, Reply};

use crate::{
    Step,
    agent::{Job, Notification, Stage},
    simulation::{AttemptId, Run, Simulation, Task},
};

/// Time from a crash of an engine, caused by a request, until it is up again.
const RESTART_TIME: Duration = Duration::from_secs(1);

/// Fake of an engine, which keeps running when its agent restarts.
pub(crate) struct Engine {
    up: bool,
    /// Number of the current boot; the timers of earlier boots are ignored.
    boot: u64,
    /// Number of requests completed since the boot; each raises the capacity by one.
    completed: u64,
    run_time: Duration,
    stalled: bool,
    /// Whether the first half of each answer also goes to the agent's other attempts.
    crosses: bool,
    /// Attempts in flight, and the incarnation of the agent that started each.
    pub(crate) running: BTreeMap<AttemptId, id::Incarnation>,
}

/// Timer of an engine, with the number of the boot that set it.
#[derive(Clone, Debug)]
pub(crate) enum Timer {
    FirstHalf(AttemptId, u64),
    Completed(AttemptId, u64),
    Restarted(u64),
}

impl Engine {
    pub(crate) fn new(run_time: Duration) -> Self {
        Self {
            up: true,
            boot: 1,
            completed: 0,
            run_time,
            stalled: false,
            crosses: false,
            running: BTreeMap::new(),
        }
    }
}

/// # Runs
impl Simulation {
    pub(crate) fn start_run(&mut self, name: &id::Process, attempt_id: &AttemptId) {
        let incarnation = self.processes[name].incarnation;
        let limit = self.script.document.endpoints[name].limit;
        let Some(job) = self.agent(name).jobs.get_mut(attempt_id) else {
            return;
        };
        job.stage = Stage::Running;
        let poison = job.offer.submission.poison;
        let Some(engine) = self.engines.get_mut(name).filter(|engine| engine.up) else {
            return self.fail_unreachable(name, attempt_id);
        };
        engine.running.insert(attempt_id.clone(), incarnation);
        let load = engine.running.len() as u64;
        let capacity = u64::from(limit.full).min(u64::from(limit.cold) + engine.completed);
        let (run_time, stalled, boot) = (engine.run_time, engine.stalled, engine.boot);
        let kind = Kind::Run {
            endpoint: name.clone(),
            attempt: attempt_id.1,
        };
        self.record_event(name, Some(&attempt_id.0), kind);
        self.trace.runs.push(Run {
            request: attempt_id.0.clone(),
            endpoint: name.clone(),
            at: self.now,
            load,
        });
        if load > capacity {
            self.trace.overloads.push((self.now, name.clone()));
        }
        if poison || load > capacity {
            return self.crash(name, true);
        }
        if !stalled {
            let first_half = Timer::FirstHalf(attempt_id.clone(), boot);
            self.schedule_after(run_time / 2, Task::EngineTimer(name.clone(), first_half));
            let completed = Timer::Completed(attempt_id.clone(), boot);
            self.schedule_after(run_time, Task::EngineTimer(name.clone(), completed));
        }
    }

    /// Ends an attempt whose engine is down, so that the request was not run.
    fn fail_unreachable(&mut self, name: &id::Process, attempt_id: &AttemptId) {
        let now = self.instant();
        self.send_failure(name, attempt_id, ErrorKind::NoEndpoint);
        let agent = self.agent(name);
        if let Some(key) = agent
            .jobs
            .get(attempt_id)
            .and_then(|job| job.offer.key.clone())
        {
            agent.ledger.release(&key, now);
        }
        agent.jobs.remove(attempt_id);
        let (request, attempt) = attempt_id.clone();
        let outcome = Outcome::Disconnected;
        let event = Event::Finished {
            request,
            attempt,
            outcome,
        };
        self.notify_agent(name, event);
    }

    /// Shuts an engine down, which interrupts its runs.
    ///
    /// If it `restarts`, this counts as a crash, and the engine is up again after [`RESTART_TIME`].
    fn crash(&mut self, endpoint: &id::Endpoint, restarts: bool) {
        self.trace.crashes += u64::from(restarts);
        let Some(engine) = self.engines.get_mut(endpoint) else {
            return;
        };
        engine.up = false;
        engine.boot += 1;
        engine.completed = 0;
        let boot = engine.boot;
        for (attempt_id, incarnation) in std::mem::take(&mut engine.running) {
            let disconnected = Task::AgentNotification(
                endpoint.clone(),
                incarnation,
                Notification::Disconnected(attempt_id),
            );
            self.schedule_after(Duration::ZERO, disconnected);
        }
        if restarts {
            self.schedule_after(
                RESTART_TIME,
                Task::EngineTimer(endpoint.clone(), Timer::Restarted(boot)),
            );
        }
    }

    pub(crate) fn handle_engine_timer(&mut self, endpoint: &id::Endpoint, timer: Timer) {
        let Some(engine) = self.engines.get_mut(endpoint) else {
            return;
        };
        let (attempt_id, boot, complete) = match timer {
            Timer::Restarted(boot) => {
                engine.up |= engine.boot == boot;
                return;
            }
            Timer::FirstHalf(attempt_id, boot) => (attempt_id, boot, false),
            Timer::Completed(attempt_id, boot) => (attempt_id, boot, true),
        };
        if engine.boot != boot || engine.stalled {
            return;
        }
        let Some(incarnation) = engine.running.get(&attempt_id).copied() else {
            return;
        };
        let notification = if complete {
            engine.running.remove(&attempt_id);
            engine.completed += 1;
            Notification::Completed(attempt_id)
        } else {
            Notification::FirstHalf(attempt_id)
        };
        self.schedule_after(
            Duration::ZERO,
            Task::AgentNotification(endpoint.clone(), incarnation, notification),
        );
    }

    pub(crate) fn perform_engine_step(&mut self, step: &Step) {
        match step {
            Step::EngineDown(name) => self.crash(name, false),
            Step::EngineRestart(name) => {
                self.crash(name, false);
                self.update_engine(name, |engine| engine.up = true);
            }
            Step::EngineUp(name) => self.update_engine(name, |engine| engine.up = true),
            Step::EngineStall(name) => self.update_engine(name, |engine| engine.stalled = true),
            Step::EngineCross(name) => self.update_engine(name, |engine| engine.crosses = true),
            Step::EngineRunTime(name, run_time) => self.update_engine(name, |engine| {
                engine.run_time = *run_time;
                engine.stalled = false;
            }),
            _ => {}
        }
    }

    fn update_engine(&mut self, name: &id::Endpoint, change: impl FnOnce(&mut Engine)) {
        if let Some(engine) = self.engines.get_mut(name) {
            change(engine);
        }
    }

    pub(crate) fn handle_agent_notification(
        &mut self,
        name: &id::Process,
        notification: Notification,
    ) {
        match notification {
            Notification::LinkClosed(entry, epoch) => {
                let jobs = &self.agent(name).jobs;
                let is_on_link = |job: &Job| job.origin.0 == entry && job.origin.2 == epoch;
                let closed: BTreeSet<_> = jobs
                    .iter()
                    .filter(|(_, job)| is_on_link(job))
                    .map(|(attempt_id, _)| attempt_id.clone())
                    .collect();
                for attempt_id in closed {
                    self.withdraw(name, &attempt_id);
                }
            }
            Notification::FirstHalf(attempt_id) => self.send_first_half(name, &attempt_id),
            Notification::Completed(attempt_id) => self.complete_run(name, &attempt_id),
            Notification::Disconnected(attempt_id) => {
                self.send_failure(name, &attempt_id, ErrorKind::Interrupted);
                self.finish_run(name, &attempt_id, Outcome::Disconnected, None);
            }
        }
    }

    fn send_first_half(&mut self, name: &id::Process, attempt_id: &AttemptId) {
        let Some(body) = self.answer_body(name, attempt_id) else {
            return;
        };
        let (request, attempt) = attempt_id.clone();
        self.notify_agent(name, Event::FirstChunk { request, attempt });
        self.send_head(name, attempt_id);
        let first_half = data_frame(attempt_id, 0, body.slice(..body.len() / 2));
        if self.engines[name].crosses {
            let others: Vec<_> = self.agent(name).jobs.keys().cloned().collect();
            for other in others.iter().filter(|other| *other != attempt_id) {
                self.send_reply(name, other, first_half.clone());
            }
        }
        self.send_reply(name, attempt_id, first_half);
    }

    fn complete_run(&mut self, name: &id::Process, attempt_id: &AttemptId) {
        let Some(body) = self.answer_body(name, attempt_id) else {
            return;
        };
        self.send_rest(name, attempt_id, &body, body.len() / 2);
        let head = head(attempt_id);
        self.finish_run(
            name,
            attempt_id,
            Outcome::Done,
            Some(Arc::new(Answer { head, body })),
        );
    }

    fn answer_body(&mut self, name: &id::Process, attempt_id: &AttemptId) -> Option<Bytes> {
        let job = self.agent(name).jobs.get(attempt_id)?;
        Some(Bytes::from(job.offer.submission.expected_answer()))
    }

    pub(crate) fn send_head(&mut self, name: &id::Process, attempt_id: &AttemptId) {
        self.send_reply(name, attempt_id, Reply::Head(head(attempt_id)));
    }

    /// Sends the rest of an answer from an offset in bytes, and the checksum of the whole answer.
    pub(crate) fn send_rest(
        &mut self,
        name: &id::Process,
        attempt_id: &AttemptId,
        body: &Bytes,
        offset: usize,
    ) {
        let (request, attempt) = attempt_id.clone();
        let mut verifier = Verifier::new(request.clone(), attempt);
        let _ = verifier.accept(data_frame(attempt_id, 0, body.clone()));
        self.send_reply(
            name,
            attempt_id,
            data_frame(attempt_id, offset as u64, body.slice(offset..)),
        );
        let checksum = verifier.checksum();
        let end = Reply::End {
            request,
            attempt,
            checksum,
        };
        self.send_reply(name, attempt_id, end);
    }

    /// Ends a run and reports it to the run records and the admission policy.
    fn finish_run(
        &mut self,
        name: &id::Process,
        attempt_id: &AttemptId,
        outcome: Outcome,
        answer: Option<Arc<Answer>>,
    ) {
        let now = self.instant();
        let agent = self.agent(name);
        let Some(job) = agent.jobs.remove(attempt_id) else {
            return;
        };
        if let Some(key) = &job.offer.key {
            agent.ledger.finish(key, answer, now);
        }
        let (request, attempt) = attempt_id.clone();
        let event = Event::Finished {
            request,
            attempt,
            outcome,
        };
        self.notify_agent(name, event);
    }

    /// Reports the state of the engine to the admission policy, as an agent's health check does.
    pub(crate) fn agent_tick(&mut self, name: &id::Process) {
        let engine = &self.engines[name];
        let boot = engine.up.then_some(engine.boot);
        let running = u32::try_from(engine.running.len()).unwrap_or(u32::MAX);
        let last_boot = std::mem::replace(&mut self.agent(name).last_boot, boot);
        let mut statuses = Vec::new();
        match boot {
            None => statuses.push(Status::Down),
            Some(boot) => {
                if last_boot.is_some_and(|last| last != boot) {
                    statuses.push(Status::Restarted);
                }
                if last_boot.is_none() {
                    statuses.push(Status::Up);
                }
                statuses.push(Status::Load { running, queued: 0 });
            }
        }
        for status in statuses {
            self.notify_agent(name, Event::Status(status));
        }
        self.notify_agent(name, Event::Tick);
    }
}

fn head((request, attempt): &AttemptId) -> Head {
    Head {
        request: request.clone(),
        attempt: *attempt,
        status: 200,
        headers: Vec::new(),
    }
}

fn data_frame((request, attempt): &AttemptId, offset: u64, data: Bytes) -> Reply {
    Reply::Data {
        request: request.clone(),
        attempt: *attempt,
        offset,
        data,
    }
}
