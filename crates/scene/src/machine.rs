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
    Act,
    agent::{Held, Stage, Timer},
    world::{Due, Run, Target, World},
};

/// Time that an engine needs to start again after a crash.
const RESTART: Duration = Duration::from_secs(1);

/// Fake of an engine; it outlives its agent.
pub(crate) struct Machine {
    up: bool,
    boot: u64,
    finished: u64,
    takes: Duration,
    stalled: bool,
    cross: bool,
    pub(crate) running: BTreeMap<Target, id::Incarnation>,
}

/// What is due at an engine.
#[derive(Clone, Debug)]
pub(crate) enum Work {
    Half(Target, u64),
    Done(Target, u64),
    Up(u64),
}

impl Machine {
    pub(crate) fn new(takes: Duration) -> Self {
        Self {
            up: true,
            boot: 1,
            finished: 0,
            takes,
            stalled: false,
            cross: false,
            running: BTreeMap::new(),
        }
    }
}

/// # Runs
impl World {
    pub(crate) fn start_run(&mut self, name: &id::Process, target: &Target) {
        let life = self.processes[name].life;
        let limit = self.script.document.endpoints[name].limit;
        let Some(held) = self.agent(name).held.get_mut(target) else {
            return;
        };
        held.stage = Stage::Running;
        let poison = held.offer.sent.poison;
        let Some(machine) = self.machines.get_mut(name).filter(|m| m.up) else {
            return self.not_run(name, target);
        };
        machine.running.insert(target.clone(), life);
        let load = machine.running.len() as u64;
        let bears = u64::from(limit.full).min(u64::from(limit.cold) + machine.finished);
        let (takes, stalled, boot) = (machine.takes, machine.stalled, machine.boot);
        let kind = Kind::Run {
            endpoint: name.clone(),
            attempt: target.1,
        };
        self.note(name, Some(&target.0), kind);
        self.facts.runs.push(Run {
            request: target.0.clone(),
            endpoint: name.clone(),
            at: self.now,
            load,
        });
        if load > bears {
            self.facts.overloads.push((self.now, name.clone()));
        }
        if poison || load > bears {
            return self.crash(name, true);
        }
        if !stalled {
            let half = Work::Half(target.clone(), boot);
            self.after(takes / 2, Due::Machine(name.clone(), half));
            let done = Work::Done(target.clone(), boot);
            self.after(takes, Due::Machine(name.clone(), done));
        }
    }

    /// Ends an attempt whose engine could not be reached.
    fn not_run(&mut self, name: &id::Process, target: &Target) {
        let now = self.instant();
        self.fail(name, target, ErrorKind::NoEndpoint);
        let agent = self.agent(name);
        if let Some(key) = agent.held.get(target).and_then(|h| h.offer.key.clone()) {
            agent.ledger.release(&key, now);
        }
        agent.held.remove(target);
        let (request, attempt) = target.clone();
        let outcome = Outcome::Disconnected;
        let event = Event::Finished {
            request,
            attempt,
            outcome,
        };
        self.tell_agent(name, event);
    }

    /// Ends an engine; what it runs breaks.
    fn crash(&mut self, endpoint: &id::Endpoint, comes_back: bool) {
        self.facts.crashes += u64::from(comes_back);
        let Some(machine) = self.machines.get_mut(endpoint) else {
            return;
        };
        machine.up = false;
        machine.boot += 1;
        machine.finished = 0;
        let boot = machine.boot;
        for (target, life) in std::mem::take(&mut machine.running) {
            let broken = Due::Agent(endpoint.clone(), life, Timer::Broken(target));
            self.after(Duration::ZERO, broken);
        }
        if comes_back {
            self.after(RESTART, Due::Machine(endpoint.clone(), Work::Up(boot)));
        }
    }

    pub(crate) fn machine_work(&mut self, endpoint: &id::Endpoint, work: Work) {
        let Some(machine) = self.machines.get_mut(endpoint) else {
            return;
        };
        let (target, boot, whole) = match work {
            Work::Up(boot) => {
                machine.up |= machine.boot == boot;
                return;
            }
            Work::Half(target, boot) => (target, boot, false),
            Work::Done(target, boot) => (target, boot, true),
        };
        if machine.boot != boot || machine.stalled {
            return;
        }
        let Some(life) = machine.running.get(&target).copied() else {
            return;
        };
        let timer = if whole {
            machine.running.remove(&target);
            machine.finished += 1;
            Timer::Whole(target)
        } else {
            Timer::Half(target)
        };
        self.after(Duration::ZERO, Due::Agent(endpoint.clone(), life, timer));
    }

    pub(crate) fn machine_act(&mut self, act: &Act) {
        match act {
            Act::EngineDown(name) => self.crash(name, false),
            Act::EngineRestart(name) => {
                self.crash(name, false);
                self.machine(name, |machine| machine.up = true);
            }
            Act::EngineUp(name) => self.machine(name, |machine| machine.up = true),
            Act::EngineStall(name) => self.machine(name, |machine| machine.stalled = true),
            Act::EngineCross(name) => self.machine(name, |machine| machine.cross = true),
            Act::EngineTakes(name, takes) => self.machine(name, |machine| {
                machine.takes = *takes;
                machine.stalled = false;
            }),
            _ => {}
        }
    }

    fn machine(&mut self, name: &id::Endpoint, change: impl FnOnce(&mut Machine)) {
        if let Some(machine) = self.machines.get_mut(name) {
            change(machine);
        }
    }

    pub(crate) fn agent_timer(&mut self, name: &id::Process, timer: Timer) {
        match timer {
            Timer::Closed(entry, epoch) => {
                let held = &self.agent(name).held;
                let of_link = |h: &Held| h.entry.0 == entry && h.entry.2 == epoch;
                let gone: BTreeSet<_> = held
                    .iter()
                    .filter(|(_, held)| of_link(held))
                    .map(|(target, _)| target.clone())
                    .collect();
                for target in gone {
                    self.withdraw(name, &target);
                }
            }
            Timer::Half(target) => self.half(name, &target),
            Timer::Whole(target) => self.whole(name, &target),
            Timer::Broken(target) => {
                self.fail(name, &target, ErrorKind::Interrupted);
                self.close(name, &target, Outcome::Disconnected, None);
            }
        }
    }

    fn half(&mut self, name: &id::Process, target: &Target) {
        let Some(body) = self.body(name, target) else {
            return;
        };
        let (request, attempt) = target.clone();
        self.tell_agent(name, Event::FirstChunk { request, attempt });
        self.send_head(name, target);
        let piece = data(target, 0, body.slice(..body.len() / 2));
        if self.machines[name].cross {
            let others: Vec<_> = self.agent(name).held.keys().cloned().collect();
            for other in others.iter().filter(|other| *other != target) {
                self.reply_to(name, other, piece.clone());
            }
        }
        self.reply_to(name, target, piece);
    }

    fn whole(&mut self, name: &id::Process, target: &Target) {
        let Some(body) = self.body(name, target) else {
            return;
        };
        self.send_rest(name, target, &body, body.len() / 2);
        let head = head(target);
        self.close(
            name,
            target,
            Outcome::Done,
            Some(Arc::new(Answer { head, body })),
        );
    }

    fn body(&mut self, name: &id::Process, target: &Target) -> Option<Bytes> {
        let held = self.agent(name).held.get(target)?;
        Some(Bytes::from(held.offer.sent.answer()))
    }

    pub(crate) fn send_head(&mut self, name: &id::Process, target: &Target) {
        self.reply_to(name, target, Reply::Head(head(target)));
    }

    /// Sends the body from a position on, and the seal of the whole.
    pub(crate) fn send_rest(
        &mut self,
        name: &id::Process,
        target: &Target,
        body: &Bytes,
        from: usize,
    ) {
        let (request, attempt) = target.clone();
        let mut check = Verifier::new(request.clone(), attempt);
        let _ = check.accept(data(target, 0, body.clone()));
        self.reply_to(name, target, data(target, from as u64, body.slice(from..)));
        let seal = check.seal();
        let end = Reply::End {
            request,
            attempt,
            seal,
        };
        self.reply_to(name, target, end);
    }

    /// Ends a run and tells the run records and the admission policy.
    fn close(
        &mut self,
        name: &id::Process,
        target: &Target,
        outcome: Outcome,
        answer: Option<Arc<Answer>>,
    ) {
        let now = self.instant();
        let agent = self.agent(name);
        let Some(held) = agent.held.remove(target) else {
            return;
        };
        if let Some(key) = &held.offer.key {
            agent.ledger.finish(key, answer, now);
        }
        let (request, attempt) = target.clone();
        let event = Event::Finished {
            request,
            attempt,
            outcome,
        };
        self.tell_agent(name, event);
    }

    /// Probes the engine, as the health watch of an agent does.
    pub(crate) fn agent_tick(&mut self, name: &id::Process) {
        let machine = &self.machines[name];
        let seen = machine.up.then_some(machine.boot);
        let running = u32::try_from(machine.running.len()).unwrap_or(u32::MAX);
        let last = std::mem::replace(&mut self.agent(name).seen, seen);
        let mut signs = Vec::new();
        match seen {
            None => signs.push(Status::Down),
            Some(boot) => {
                if last.is_some_and(|last| last != boot) {
                    signs.push(Status::Restarted);
                }
                if last.is_none() {
                    signs.push(Status::Up);
                }
                signs.push(Status::Load { running, queued: 0 });
            }
        }
        for sign in signs {
            self.tell_agent(name, Event::Status(sign));
        }
        self.tell_agent(name, Event::Tick);
    }
}

fn head((request, attempt): &Target) -> Head {
    Head {
        request: request.clone(),
        attempt: *attempt,
        status: 200,
        headers: Vec::new(),
    }
}

fn data((request, attempt): &Target, offset: u64, data: Bytes) -> Reply {
    Reply::Data {
        request: request.clone(),
        attempt: *attempt,
        offset,
        data,
    }
}
