use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use conf::id;
use event::Kind;
use fault::{ErrorKind, Fault, Run};
use once::{Delivery, Piece};
use route::{Action, Ask, Event, Policy};
use smol_str::SmolStr;
use tokio::time::Instant;
use wire::{Attempt, Hint, Key, Reply, Request, Verdict};

use crate::{
    agent::{self, Offer},
    world::{Body, Due, End, Envelope, Epoch, Sent, State, Target, World},
};

/// Time in which a heartbeat must be answered.
const ANSWER: Duration = Duration::from_secs(1);
/// Time in which an offer must be answered, beyond the time that work may queue.
const VERDICT: Duration = Duration::from_secs(2);

/// Fake of an entry around the real routing policy.
pub(crate) struct Entry {
    policy: Box<dyn Policy>,
    pub(crate) links: BTreeMap<id::Endpoint, Link>,
    calls: BTreeMap<Request, Call>,
    pub(crate) leaving: bool,
}

/// Link to an agent.
#[derive(Clone, Debug, Default)]
pub(crate) struct Link {
    pub(crate) epoch: Epoch,
    life: id::Incarnation,
    up: bool,
    unanswered: Option<Duration>,
}

struct Call {
    sent: Sent,
    key: Option<Key>,
    deadline: Instant,
    actions: VecDeque<Action>,
    stage: Stage,
    may_have_run: bool,
}

enum Stage {
    Idle,
    Offered(Attempt, id::Endpoint),
    Started(Attempt, id::Endpoint, Box<Delivery>, Option<String>),
}

impl Stage {
    fn attempt(&self) -> Option<(Attempt, &id::Endpoint)> {
        match self {
            Stage::Idle => None,
            Stage::Offered(attempt, endpoint) | Stage::Started(attempt, endpoint, ..) => {
                Some((*attempt, endpoint))
            }
        }
    }
}

/// Message to an entry.
#[derive(Clone, Debug)]
pub(crate) enum Message {
    Beat {
        hint: Hint,
        records: Vec<SmolStr>,
    },
    /// Message on the stream of an attempt.
    Reply(Target, Reply),
}

/// Time that is up.
#[derive(Clone, Debug)]
pub(crate) enum Timer {
    Verdict(Target),
    Deadline(Request),
}

impl Entry {
    pub(crate) fn new(policy: Box<dyn Policy>) -> Self {
        Self {
            policy,
            links: BTreeMap::new(),
            calls: BTreeMap::new(),
            leaving: false,
        }
    }
}

/// # Requests
impl World {
    /// Takes a caller's request through the stages before the choice.
    pub(crate) fn arrive(&mut self, sent: Sent) {
        let (name, request) = (sent.entry.clone(), sent.request.clone());
        let state = self.processes[&name].state;
        if state != State::Running {
            // The caller's connection is refused.
            return self.end(&request, End::Cut);
        }
        let Some(document) = self.processes[&name].fold.document().cloned() else {
            return self.refuse(&name, &request, ErrorKind::NotReady.into());
        };
        if self.entries[&name].leaving {
            return self.refuse(&name, &request, ErrorKind::ShuttingDown.into());
        }
        let kind = Kind::Request {
            team: sent.team.clone(),
            service: sent.service.clone(),
        };
        self.note(&name, Some(&request), kind);
        let key = sent.key.as_ref().map(|text| Key {
            team: sent.team.clone(),
            text: text.clone(),
            owner: None,
        });
        let owner = key
            .as_ref()
            .and_then(|key| (self.parts.owner)(&document, &sent.service, key));
        let deadline = self.instant() + document.policy.deadline;
        let ask = Ask {
            request: request.clone(),
            team: sent.team.clone(),
            service: sent.service.clone(),
            priority: document.services[&sent.service].routes[0].priority,
            repeatable: key.is_none(),
            owner,
            prefix: vec![fingerprint(&sent)],
            fingerprint: fingerprint(&sent),
            replayable: true,
            deadline,
        };
        let call = Call {
            sent,
            key,
            deadline,
            actions: VecDeque::new(),
            stage: Stage::Idle,
            may_have_run: false,
        };
        let life = self.processes[&name].life;
        let timer = Due::Entry(name.clone(), life, Timer::Deadline(request.clone()));
        self.after(document.policy.deadline, timer);
        self.entry(&name).calls.insert(request, call);
        self.tell_entry(&name, Event::Begin(ask));
    }

    fn entry(&mut self, name: &id::Process) -> &mut Entry {
        self.entries.get_mut(name).expect("the entry is declared")
    }

    /// Tells a routing policy an event and carries out what it wants.
    pub(crate) fn tell_entry(&mut self, name: &id::Process, event: Event) {
        let now = self.instant();
        let entry = self.entry(name);
        for action in entry.policy.handle(event, now) {
            let request = action.request().clone();
            if let Some(call) = entry.calls.get_mut(&request) {
                call.actions.push_back(action);
            }
        }
        let ready: Vec<_> = entry
            .calls
            .iter()
            .filter(|(_, call)| !call.actions.is_empty())
            .map(|(request, _)| request.clone())
            .collect();
        for request in ready {
            self.advance(name, &request);
        }
    }

    /// Carries out the next action for a request that waits for one.
    fn advance(&mut self, name: &id::Process, request: &Request) {
        let Some(call) = self.entry(name).calls.get_mut(request) else {
            return;
        };
        if !matches!(call.stage, Stage::Idle) {
            return;
        }
        match call.actions.pop_front() {
            Some(Action::Offer {
                attempt, endpoint, ..
            }) => self.offer(name, request, attempt, &endpoint),
            Some(Action::GiveUp { fault, .. }) => self.refuse(name, request, fault),
            Some(Action::Abandon { .. }) => self.advance(name, request),
            None => {}
        }
    }

    fn offer(
        &mut self,
        name: &id::Process,
        request: &Request,
        attempt: Attempt,
        to: &id::Endpoint,
    ) {
        let kind = Kind::Offer {
            endpoint: to.clone(),
            attempt,
        };
        self.note(name, Some(request), kind);
        let (now, number) = (self.instant(), self.processes[name].fold.version().number);
        let entry = self.entry(name);
        let up = entry.links.get(to).is_some_and(|link| link.up);
        let Some(call) = entry.calls.get_mut(request) else {
            return;
        };
        if !up {
            let fault = ErrorKind::NoEndpoint.into();
            return self.refused(name, request, attempt, fault);
        }
        call.stage = Stage::Offered(attempt, to.clone());
        let offer = Offer {
            sent: call.sent.clone(),
            attempt,
            key: call.key.clone(),
            fingerprint: fingerprint(&call.sent),
            time_left: call.deadline.saturating_duration_since(now),
            version: number,
        };
        self.pass(name, to, agent::Message::Offer(Box::new(offer)));
        let (life, queue) = (self.processes[name].life, self.queue_time(name));
        let target = (request.clone(), attempt);
        let timer = Due::Entry(name.clone(), life, Timer::Verdict(target));
        self.after(VERDICT + queue, timer);
    }

    fn queue_time(&self, name: &id::Process) -> Duration {
        let document = self.processes[name].fold.document();
        document.map_or(Duration::ZERO, |d| d.policy.queue_time)
    }

    fn pass(&mut self, name: &id::Process, to: &id::Endpoint, message: agent::Message) {
        let from_life = self.processes[name].life;
        let link = self.entry(name).links.get(to).cloned().unwrap_or_default();
        self.send(Envelope {
            from: name.clone(),
            from_life,
            to: to.clone(),
            to_life: link.life,
            epoch: link.epoch,
            body: Body::ToAgent(message),
        });
    }

    fn refused(&mut self, name: &id::Process, request: &Request, attempt: Attempt, fault: Fault) {
        if let Some(call) = self.entry(name).calls.get_mut(request) {
            call.stage = Stage::Idle;
        }
        let event = Event::Refused {
            request: request.clone(),
            attempt,
            fault,
        };
        self.tell_entry(name, event);
    }

    /// Handles an offer whose verdict never came: without a key it may have been run.
    fn unanswered(&mut self, name: &id::Process, request: &Request, attempt: Attempt) {
        let fault = Fault::new(ErrorKind::NoEndpoint);
        let Some(call) = self.entry(name).calls.get_mut(request) else {
            return;
        };
        if call.key.is_some() {
            return self.refused(name, request, attempt, fault);
        }
        call.stage = Stage::Idle;
        call.may_have_run = true;
        let event = Event::Broken {
            request: request.clone(),
            attempt,
            fault: fault.run_unknown(),
            replayable: true,
        };
        self.tell_entry(name, event);
    }

    /// Gives a caller its final refusal; it says `run: no` only if no attempt can have been run.
    fn refuse(&mut self, name: &id::Process, request: &Request, fault: Fault) {
        let call = self.entry(name).calls.get(request);
        let fault = if call.is_some_and(|call| call.may_have_run) {
            fault.run_unknown()
        } else {
            fault
        };
        let kind = Kind::Refusal {
            kind: fault.kind().name().into(),
        };
        self.note(name, Some(request), kind);
        self.finish(name, request, End::Refused(fault));
    }

    fn finish(&mut self, name: &id::Process, request: &Request, end: End) {
        self.end(request, end);
        self.entry(name).calls.remove(request);
        let request = request.clone();
        self.tell_entry(name, Event::Ended { request });
    }

    /// Records the outcome that a caller sees.
    fn end(&mut self, request: &Request, end: End) {
        let now = self.now;
        if let Some(sent) = self.facts.sent.get_mut(request) {
            sent.end.get_or_insert((now, end));
        }
    }

    /// Breaks the callers' connections of a process that was killed.
    pub(crate) fn entry_killed(&mut self, name: &id::Process) {
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        for request in std::mem::take(&mut entry.calls).into_keys() {
            self.end(&request, End::Cut);
        }
    }
}

/// # Replies
impl World {
    pub(crate) fn entry_message(&mut self, envelope: &Envelope, message: Message) {
        let (name, from) = (&envelope.to, &envelope.from);
        match message {
            Message::Beat { hint, records } => {
                self.beat(name, from, envelope.epoch, hint, &records)
            }
            Message::Reply(target, Reply::Verdict(verdict)) => self.verdict(name, &target, verdict),
            Message::Reply(target, reply) => self.reply(name, &target, reply),
        }
    }

    fn verdict(&mut self, name: &id::Process, (request, attempt): &Target, verdict: Verdict) {
        let Some(call) = self.entry(name).calls.get_mut(request) else {
            return;
        };
        let Stage::Offered(current, endpoint) = &call.stage else {
            return;
        };
        if current != attempt {
            return;
        }
        let (attempt, endpoint) = (*attempt, endpoint.clone());
        let (Verdict::Admitted { hint, .. } | Verdict::Refused { hint, .. }) = verdict;
        let told = Event::Hint {
            endpoint: endpoint.clone(),
            hint,
        };
        match verdict {
            Verdict::Admitted { token, .. } => {
                let delivery = Box::new(Delivery::new(request.clone(), attempt));
                call.stage = Stage::Started(attempt, endpoint.clone(), delivery, None);
                self.tell_entry(name, told);
                let request = request.clone();
                self.tell_entry(
                    name,
                    Event::Admitted {
                        request: request.clone(),
                        attempt,
                    },
                );
                if let Some(token) = token {
                    let go = agent::Message::Go((request, attempt), token);
                    self.pass(name, &endpoint, go);
                }
            }
            Verdict::Refused { fault, .. } => {
                self.tell_entry(name, told);
                self.refused(name, request, attempt, fault);
            }
        }
    }

    fn reply(&mut self, name: &id::Process, (request, attempt): &Target, reply: Reply) {
        let Some(call) = self.entry(name).calls.get_mut(request) else {
            return;
        };
        let Stage::Started(current, _, delivery, body) = &mut call.stage else {
            return;
        };
        if current != attempt {
            return;
        }
        match delivery.accept(reply) {
            Ok(Piece::Head(_)) => *body = Some(String::new()),
            Ok(Piece::Data(data)) => {
                let text = String::from_utf8_lossy(&data);
                body.get_or_insert_default().push_str(&text);
                let (request, attempt) = (request.clone(), *attempt);
                self.tell_entry(name, Event::Progress { request, attempt });
            }
            Ok(Piece::End) => {
                let body = body.take().unwrap_or_default();
                let length = body.len() as u64;
                let kind = Kind::Answer {
                    status: 200,
                    length,
                };
                self.note(name, Some(request), kind);
                self.finish(name, request, End::Answered { body });
            }
            Ok(Piece::Nothing) => {}
            Err(fault) => self.broken(name, request, fault),
        }
    }

    /// Handles the break of an attempt that was admitted.
    fn broken(&mut self, name: &id::Process, request: &Request, fault: Fault) {
        let Some(call) = self.entry(name).calls.get_mut(request) else {
            return;
        };
        let Stage::Started(attempt, _, _, body) = &call.stage else {
            return;
        };
        if body.is_some() {
            let kind = Kind::Refusal {
                kind: fault.kind().name().into(),
            };
            self.note(name, Some(request), kind);
            return self.finish(name, request, End::Cut);
        }
        let (attempt, replayable) = (*attempt, fault.run() == Run::Unknown);
        call.stage = Stage::Idle;
        call.may_have_run |= replayable;
        let event = Event::Broken {
            request: request.clone(),
            attempt,
            fault,
            replayable,
        };
        self.tell_entry(name, event);
    }

    pub(crate) fn entry_timer(&mut self, name: &id::Process, timer: Timer) {
        match timer {
            Timer::Verdict((request, attempt)) => {
                let call = self.entry(name).calls.get(&request);
                let Some(Stage::Offered(current, endpoint)) = call.map(|c| &c.stage) else {
                    return;
                };
                if *current == attempt {
                    let endpoint = endpoint.clone();
                    let withdraw = agent::Message::Withdraw((request.clone(), attempt));
                    self.pass(name, &endpoint, withdraw);
                    self.unanswered(name, &request, attempt);
                }
            }
            Timer::Deadline(request) => {
                let call = self.entry(name).calls.get(&request);
                if let Some((attempt, endpoint)) = call.and_then(|c| c.stage.attempt()) {
                    let endpoint = endpoint.clone();
                    let withdraw = agent::Message::Withdraw((request.clone(), attempt));
                    self.pass(name, &endpoint, withdraw);
                }
                self.broken(name, &request, ErrorKind::DeadlineRunning.into());
            }
        }
    }
}

/// # Links
impl World {
    pub(crate) fn entry_tick(&mut self, name: &id::Process, beat: bool) {
        self.tell_entry(name, Event::Tick);
        let now = self.now;
        let overdue = |link: &Link| link.unanswered.is_some_and(|sent| sent + ANSWER <= now);
        let links = &self.entry(name).links;
        let lost: Vec<_> = links
            .iter()
            .filter(|(_, link)| overdue(link))
            .map(|(endpoint, _)| endpoint.clone())
            .collect();
        for endpoint in lost {
            self.link_down(name, &endpoint);
        }
        if beat {
            self.beat_all(name);
        }
    }

    /// Sends a heartbeat on each link that owes no answer; dials those that are new or lost.
    fn beat_all(&mut self, name: &id::Process) {
        let Some(document) = self.processes[name].fold.document().cloned() else {
            return;
        };
        let (now, number) = (self.now, self.processes[name].fold.version().number);
        for endpoint in document.endpoints.keys() {
            let life = self.processes[endpoint].life;
            let link = self.entry(name).links.entry(endpoint.clone()).or_default();
            if link.unanswered.is_some() {
                continue;
            }
            if !link.up {
                link.life = life;
            }
            link.unanswered = Some(now);
            self.pass(name, endpoint, agent::Message::Beat(number));
        }
    }

    fn beat(
        &mut self,
        name: &id::Process,
        endpoint: &id::Endpoint,
        epoch: Epoch,
        hint: Hint,
        records: &[SmolStr],
    ) {
        let link = self.entry(name).links.entry(endpoint.clone()).or_default();
        if link.epoch != epoch {
            return;
        }
        link.unanswered = None;
        let endpoint = endpoint.clone();
        if !std::mem::replace(&mut link.up, true) {
            let peer = endpoint.clone();
            self.note(name, None, Kind::Member { peer, up: true });
            let endpoint = endpoint.clone();
            self.tell_entry(name, Event::Up { endpoint });
        }
        self.tell_entry(name, Event::Hint { endpoint, hint });
        self.adopt(name, records);
    }

    /// Gives a link up: what was on it is broken at both ends, and the next dial is a new link.
    fn link_down(&mut self, name: &id::Process, endpoint: &id::Endpoint) {
        let link = self.entry(name).links.entry(endpoint.clone()).or_default();
        let (was_up, epoch, life) = (link.up, link.epoch, link.life);
        *link = Link {
            epoch: epoch + 1,
            ..Link::default()
        };
        let closed = agent::Timer::Closed(name.clone(), epoch);
        self.after(Duration::ZERO, Due::Agent(endpoint.clone(), life, closed));
        if !was_up {
            return;
        }
        let peer = endpoint.clone();
        self.note(name, None, Kind::Member { peer, up: false });
        let down = Event::Down {
            endpoint: endpoint.clone(),
        };
        self.tell_entry(name, down);
        self.break_calls(name, endpoint);
    }

    fn break_calls(&mut self, name: &id::Process, endpoint: &id::Endpoint) {
        let at = |stage: &Stage| {
            stage
                .attempt()
                .filter(|(_, at)| *at == endpoint)
                .map(|(a, _)| a)
        };
        let calls = &self.entry(name).calls;
        let broken: Vec<_> = calls
            .iter()
            .filter_map(|(request, call)| {
                let offered = matches!(call.stage, Stage::Offered(..));
                at(&call.stage).map(|attempt| (request.clone(), attempt, offered))
            })
            .collect();
        for (request, attempt, offered) in broken {
            if offered {
                self.unanswered(name, &request, attempt);
            } else {
                self.broken(name, &request, ErrorKind::Interrupted.into());
            }
        }
    }
}

/// Hash of what is asked for, equal for equal requests.
fn fingerprint(sent: &Sent) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    let what = if sent.poison {
        "poison".to_owned()
    } else {
        sent.answer()
    };
    for byte in what.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    hash
}
