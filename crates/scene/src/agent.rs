use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use conf::{Number, id};
use event::Kind;
use fault::{ErrorKind, Fault};
use gate::{Action, Ask, Event, Outcome, Policy, Sign};
use once::{Answer, Delivery, Ledger, Reserve, Reserved};
use smol_str::SmolStr;
use wire::{Attempt, Fingerprint, Head, Key, Reply, Token, Verdict};

use crate::{
    Act, entry,
    world::{Body, Due, Envelope, Epoch, Run, Sent, Target, World},
};

/// Time that an engine needs to start again after a crash.
const RESTART: Duration = Duration::from_secs(1);

/// Fake of an agent around the real admission policy and run records.
pub(crate) struct Agent {
    gate: Box<dyn Policy>,
    pub(crate) ledger: Box<dyn Ledger>,
    held: BTreeMap<Target, Held>,
    seen: Option<u64>,
}

/// Attempt that the agent knows.
struct Held {
    offer: Box<Offer>,
    entry: (id::Process, id::Incarnation, Epoch),
    stage: Stage,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    Waiting,
    Reserved(Token),
    Running,
}

/// Offer of an attempt.
#[derive(Clone, Debug)]
pub(crate) struct Offer {
    pub(crate) sent: Sent,
    pub(crate) attempt: Attempt,
    pub(crate) key: Option<Key>,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) time_left: Duration,
    pub(crate) version: Number,
}

/// Message to an agent.
#[derive(Clone, Debug)]
pub(crate) enum Message {
    /// Heartbeat with the sender's version.
    Beat(Number),
    Offer(Box<Offer>),
    Withdraw(Target),
    Go(Target, Token),
}

/// What an agent learns from beside it.
#[derive(Clone, Debug)]
pub(crate) enum Timer {
    /// An entry's link is closed.
    Closed(id::Process, Epoch),
    /// The engine sent the first half of an answer.
    Half(Target),
    /// The engine sent the rest.
    Whole(Target),
    /// The engine's connection broke.
    Broken(Target),
}

/// Fake of an engine; it outlives its agent.
pub(crate) struct Machine {
    up: bool,
    boot: u64,
    finished: u64,
    takes: Duration,
    stalled: bool,
    cross: bool,
    running: BTreeMap<Target, id::Incarnation>,
}

/// What is due at an engine.
#[derive(Clone, Debug)]
pub(crate) enum Work {
    Half(Target, u64),
    Done(Target, u64),
    Up(u64),
}

impl Agent {
    pub(crate) fn new(gate: Box<dyn Policy>, ledger: Box<dyn Ledger>) -> Self {
        Self {
            gate,
            ledger,
            held: BTreeMap::new(),
            seen: None,
        }
    }
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

/// # Attempts
impl World {
    pub(crate) fn agent_message(&mut self, envelope: &Envelope, message: Message) {
        let name = &envelope.to;
        match message {
            Message::Beat(number) => self.answer_beat(envelope, number),
            Message::Offer(offer) => {
                let target = (offer.sent.request.clone(), offer.attempt);
                let ask = self.ask(&offer);
                let held = Held {
                    offer,
                    entry: (envelope.from.clone(), envelope.from_life, envelope.epoch),
                    stage: Stage::Waiting,
                };
                self.agent(name).held.insert(target, held);
                self.tell_agent(name, Event::Offer(ask));
            }
            Message::Withdraw(target) => self.withdraw(name, &target),
            Message::Go(target, token) => self.go(name, &target, token),
        }
    }

    pub(crate) fn agent(&mut self, name: &id::Process) -> &mut Agent {
        self.agents.get_mut(name).expect("the endpoint is declared")
    }

    fn ask(&self, offer: &Offer) -> Ask {
        let priority = self.script.document.services[&offer.sent.service].routes[0].priority;
        Ask {
            request: offer.sent.request.clone(),
            attempt: offer.attempt,
            service: offer.sent.service.clone(),
            team: offer.sent.team.clone(),
            priority,
            repeatable: offer.key.is_none(),
            fingerprint: offer.fingerprint,
            deadline: self.instant() + offer.time_left,
            version: offer.version,
        }
    }

    fn answer_beat(&mut self, envelope: &Envelope, number: Number) {
        let records = &self.processes[&envelope.to].records;
        let newer = records.iter().filter(|(own, _)| *own > number);
        let records = newer.map(|(_, text)| text.clone()).collect();
        let hint = self.agent(&envelope.to).gate.hint();
        self.send(Envelope {
            from: envelope.to.clone(),
            from_life: envelope.to_life,
            to: envelope.from.clone(),
            to_life: envelope.from_life,
            epoch: envelope.epoch,
            body: Body::ToEntry(entry::Message::Beat { hint, records }),
        });
    }

    /// Tells an admission policy an event and carries out what it wants.
    pub(crate) fn tell_agent(&mut self, name: &id::Process, event: Event) {
        let now = self.instant();
        let actions = self.agent(name).gate.handle(event, now);
        for action in actions {
            match action {
                Action::Admit { request, attempt } => self.reserve(name, &(request, attempt)),
                Action::Refuse {
                    request,
                    attempt,
                    fault,
                } => self.turn_away(name, &(request, attempt), fault),
            }
        }
    }

    fn turn_away(&mut self, name: &id::Process, target: &Target, fault: Fault) {
        let kind = Kind::Refusal {
            kind: fault.kind().name().into(),
        };
        self.note(name, Some(&target.0), kind);
        let hint = self.agent(name).gate.hint();
        self.reply_to(
            name,
            target,
            Reply::Verdict(Verdict::Refused { fault, hint }),
        );
        self.agent(name).held.remove(target);
    }

    fn reply_to(&mut self, name: &id::Process, target: &Target, reply: Reply) {
        let from_life = self.processes[name].life;
        let Some(held) = self.agent(name).held.get(target) else {
            return;
        };
        let (to, to_life, epoch) = held.entry.clone();
        self.send(Envelope {
            from: name.clone(),
            from_life,
            to,
            to_life,
            epoch,
            body: Body::ToEntry(entry::Message::Reply(target.clone(), reply)),
        });
    }

    /// Reserve stage of an admitted attempt.
    fn reserve(&mut self, name: &id::Process, target: &Target) {
        let now = self.instant();
        let agent = self.agent(name);
        let hint = agent.gate.hint();
        let Some(held) = agent.held.get_mut(target) else {
            return;
        };
        let Some(key) = held.offer.key.clone() else {
            self.reply_to(name, target, admitted(None, hint));
            return self.start_run(name, target);
        };
        let reserve = Reserve {
            key,
            request: target.0.clone(),
            attempt: target.1,
            fingerprint: held.offer.fingerprint,
            deadline: now + held.offer.time_left,
        };
        let (request, attempt) = target.clone();
        match agent.ledger.reserve(reserve, now) {
            Reserved::Token(token) => {
                held.stage = Stage::Reserved(token);
                self.reply_to(name, target, admitted(Some(token), hint));
            }
            Reserved::Replay(answer) => {
                self.tell_agent(name, Event::Withdrawn { request, attempt });
                self.reply_to(name, target, admitted(Some(Token::default()), hint));
                self.send_head(name, target);
                let body = answer.body.clone();
                self.send_rest(name, target, &body, 0);
                self.agent(name).held.remove(target);
            }
            Reserved::Refused(fault) => {
                self.turn_away(name, target, fault);
                self.tell_agent(name, Event::Withdrawn { request, attempt });
            }
        }
    }

    fn go(&mut self, name: &id::Process, target: &Target, token: Token) {
        let now = self.instant();
        let agent = self.agent(name);
        let Some(key) = agent.held.get(target).and_then(|h| h.offer.key.clone()) else {
            return;
        };
        if agent.ledger.start(&key, token, now).is_ok() {
            return self.start_run(name, target);
        }
        self.fail(name, target, ErrorKind::Interrupted);
        self.agent(name).held.remove(target);
        let (request, attempt) = target.clone();
        self.tell_agent(name, Event::Withdrawn { request, attempt });
    }

    fn fail(&mut self, name: &id::Process, target: &Target, kind: ErrorKind) {
        let fault = kind.into();
        self.reply_to(name, target, Reply::Failed { fault });
    }

    /// Frees what an attempt holds that its entry no longer wants; a run under a key goes on.
    fn withdraw(&mut self, name: &id::Process, target: &Target) {
        let now = self.instant();
        let agent = self.agent(name);
        let Some(held) = agent.held.get(target) else {
            return;
        };
        let (stage, key) = (held.stage, held.offer.key.clone());
        let (request, attempt) = target.clone();
        let event = match (stage, key) {
            (Stage::Running, Some(_)) => return,
            (Stage::Running, None) => {
                if let Some(machine) = self.machines.get_mut(name) {
                    machine.running.remove(target);
                }
                let outcome = Outcome::Cancelled;
                Event::Finished {
                    request,
                    attempt,
                    outcome,
                }
            }
            (Stage::Reserved(token), Some(key)) => {
                agent.ledger.withdraw(&key, token, now);
                Event::Withdrawn { request, attempt }
            }
            (Stage::Waiting | Stage::Reserved(_), _) => Event::Withdrawn { request, attempt },
        };
        self.agent(name).held.remove(target);
        self.tell_agent(name, event);
    }
}

/// # Runs
impl World {
    fn start_run(&mut self, name: &id::Process, target: &Target) {
        let life = self.processes[name].life;
        let limit = self.script.document.endpoints[name].limit;
        let Some(held) = self.agent(name).held.get_mut(target) else {
            return;
        };
        held.stage = Stage::Running;
        let poison = held.offer.sent.poison;
        let Some(machine) = self.machines.get_mut(name).filter(|m| m.up) else {
            let broken = Due::Agent(name.clone(), life, Timer::Broken(target.clone()));
            return self.after(Duration::ZERO, broken);
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
                self.close(name, &target, Outcome::Broken, None);
            }
        }
    }

    fn half(&mut self, name: &id::Process, target: &Target) {
        let Some(body) = self.body(name, target) else {
            return;
        };
        let (request, attempt) = target.clone();
        self.tell_agent(name, Event::First { request, attempt });
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

    fn send_head(&mut self, name: &id::Process, target: &Target) {
        self.reply_to(name, target, Reply::Head(head(target)));
    }

    /// Sends the body from a position on, and the seal of the whole.
    fn send_rest(&mut self, name: &id::Process, target: &Target, body: &Bytes, from: usize) {
        let (request, attempt) = target.clone();
        let mut check = Delivery::new(request.clone(), attempt);
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
            None => signs.push(Sign::Down),
            Some(boot) => {
                if last.is_some_and(|last| last != boot) {
                    signs.push(Sign::Restarted);
                }
                if last.is_none() {
                    signs.push(Sign::Up);
                }
                signs.push(Sign::Load { running, queued: 0 });
            }
        }
        for sign in signs {
            self.tell_agent(name, Event::Sign(sign));
        }
        self.tell_agent(name, Event::Tick);
    }
}

fn admitted(token: Option<Token>, hint: wire::Hint) -> Reply {
    Reply::Verdict(Verdict::Admitted { token, hint })
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

/// Name under which a service's endpoints are found.
pub(crate) fn zone_of(world: &World, endpoint: &SmolStr) -> id::Zone {
    world.script.document.endpoints[endpoint].zone.clone()
}
