use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use conf::{Document, id};
use event::Kind;
use fault::{ErrorKind, Fault, Run};
use once::{IssuedKey, Piece, Verifier};
use rand::RngExt as _;
use route::{Action, Descriptor, Event, Policy};
use smol_str::{SmolStr, ToSmolStr as _};
use tokio::time::Instant;
use wire::{Attempt, Hint, Key, Owner, Reply, Request, Suspect, Verdict};

use crate::{
    agent::{self, Offer},
    link::Link,
    world::{Body, Due, EPOCH, End, Envelope, Sent, State, Target, World},
};

/// Time in which an offer must be answered, beyond the time that work may queue.
const VERDICT: Duration = Duration::from_secs(2);

/// Fake of an entry around the real routing policy.
pub(crate) struct Entry {
    pub(crate) policy: Box<dyn Policy>,
    pub(crate) links: BTreeMap<id::Endpoint, Link>,
    pub(crate) calls: BTreeMap<Request, Call>,
    pub(crate) leaving: bool,
}

pub(crate) struct Call {
    sent: Sent,
    key: Option<Key>,
    deadline: Instant,
    actions: VecDeque<Action>,
    pub(crate) stage: Stage,
    may_have_run: bool,
    /// What the agent that owns the caller's key said last.
    owner_said: Option<ErrorKind>,
}

pub(crate) enum Stage {
    Idle,
    Offered(Attempt, id::Endpoint),
    Started(Attempt, id::Endpoint, Box<Verifier>, Option<String>),
}

impl Stage {
    pub(crate) fn attempt(&self) -> Option<(Attempt, &id::Endpoint)> {
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
        /// Place in the log from which the records go on.
        position: usize,
        /// Place that the agent has reached.
        reached: usize,
        records: Vec<SmolStr>,
        suspects: Vec<Suspect>,
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
        let (key, owner) = self.own_key(&document, &sent);
        if key.is_some() && owner.is_none() {
            return self.refuse(&name, &request, ErrorKind::OwnerLost.into());
        }
        let deadline = self.instant() + document.policy.deadline;
        let ask = Descriptor {
            request: request.clone(),
            team: sent.team.clone(),
            service: sent.service.clone(),
            priority: document.services[&sent.service].routes[0].priority,
            repeatable: sent.key.is_none(),
            owner,
            prefixes: vec![fingerprint(&sent)],
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
            owner_said: None,
        };
        let life = self.processes[&name].life;
        let timer = Due::Entry(name.clone(), life, Timer::Deadline(request.clone()));
        self.after(document.policy.deadline, timer);
        self.entry(&name).calls.insert(request, call);
        self.tell_entry(&name, Event::Begin(ask));
    }

    /// Returns the key that the caller sent, and the endpoint that owns it.
    fn own_key(&self, document: &Document, sent: &Sent) -> (Option<Key>, Option<id::Endpoint>) {
        let Some(text) = sent.key.as_ref().filter(|_| !sent.fresh) else {
            return (None, None);
        };
        if let Some(issue) = self.issued.get(text) {
            let endpoint = Some(issue.endpoint.clone());
            return (Some(issued_key(&sent.team, issue)), endpoint);
        }
        let key = Key {
            team: sent.team.clone(),
            text: text.clone(),
            owner: None,
        };
        let owner = (self.parts.owner)(document, &sent.service, &key);
        (Some(key), owner)
    }

    /// Issues a key that one life of the agent beside an endpoint owns.
    fn issue(&mut self, name: &id::Process, endpoint: &id::Endpoint) -> Option<IssuedKey> {
        let horizon = self.processes[name].fold.document()?.policy.retry_horizon;
        let now = Duration::from_nanos(EPOCH) + self.now;
        let nonce = self.random.random();
        let incarnation = self.entry(name).links.get(endpoint)?.hint?.incarnation;
        let owner = Owner {
            incarnation,
            expires: (now + horizon).as_secs(),
        };
        let endpoint = endpoint.clone();
        Some(IssuedKey {
            endpoint,
            owner,
            nonce,
        })
    }

    /// Issues a key at a caller's wish, for an endpoint that takes work, in the own zone if it can.
    pub(crate) fn issue_named(&mut self, key: SmolStr, service: &id::Service, name: &id::Process) {
        let zone = self.processes[name].zone.clone();
        let Some(document) = self.processes[name].fold.document().cloned() else {
            return;
        };
        let links = &self.entry(name).links;
        let open = document.endpoints.iter().filter(|(endpoint, settings)| {
            let link = links.get(*endpoint).filter(|link| link.up);
            settings.service == *service && link.is_some_and(|l| l.hint.is_some_and(|h| h.open))
        });
        let near = open.min_by_key(|(_, settings)| settings.zone != zone);
        let Some(endpoint) = near.map(|(endpoint, _)| endpoint.clone()) else {
            return;
        };
        if let Some(issue) = self.issue(name, &endpoint) {
            self.issued.insert(key, issue);
        }
    }

    pub(crate) fn entry(&mut self, name: &id::Process) -> &mut Entry {
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
            Some(Action::Reject { fault, .. }) => self.refuse(name, request, fault),
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
        let Some(call) = entry.calls.get(request) else {
            return;
        };
        if call.may_have_run && call.sent.key.is_some() {
            return self.refuse(name, request, ErrorKind::Interrupted.into());
        }
        let (fresh, team) = (call.sent.fresh, call.sent.team.clone());
        let issue = if fresh && up {
            self.issue(name, to)
        } else {
            None
        };
        if !up || fresh && issue.is_none() {
            let fault = ErrorKind::NoEndpoint.into();
            return self.refused(name, request, attempt, fault);
        }
        let Some(call) = self.entry(name).calls.get_mut(request) else {
            return;
        };
        if let Some(issue) = issue {
            call.key = Some(issued_key(&team, &issue));
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

    pub(crate) fn pass(&mut self, name: &id::Process, to: &id::Endpoint, message: agent::Message) {
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

    pub(crate) fn refused(
        &mut self,
        name: &id::Process,
        request: &Request,
        attempt: Attempt,
        mut fault: Fault,
    ) {
        if let Some(call) = self.entry(name).calls.get_mut(request) {
            call.stage = Stage::Idle;
            if call.sent.fresh && fault.kind() == ErrorKind::OwnerLost {
                // The key was made for this offer, so that no life of any agent can have run it.
                fault = ErrorKind::NoEndpoint.into();
            }
        }
        let event = Event::Refused {
            request: request.clone(),
            attempt,
            fault,
        };
        self.tell_entry(name, event);
    }

    /// Handles an offer whose verdict never came: without a key it may have been run.
    pub(crate) fn unanswered(&mut self, name: &id::Process, request: &Request, attempt: Attempt) {
        let fault = Fault::new(ErrorKind::NoEndpoint);
        let Some(call) = self.entry(name).calls.get_mut(request) else {
            return;
        };
        if call.key.is_some() {
            return self.refused(name, request, attempt, fault);
        }
        call.stage = Stage::Idle;
        call.may_have_run = true;
        let event = Event::Interrupted {
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
        let unsure = |call: &Call| {
            // An earlier send of the caller's key may have run, and only its owner can know.
            let own = call.key.is_some() && !call.sent.fresh;
            call.may_have_run || own && call.owner_said != Some(fault.kind())
        };
        let fault = if call.is_some_and(unsure) {
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
            Message::Beat {
                hint,
                position,
                reached,
                records,
                suspects,
            } => {
                self.beat(name, from, envelope.epoch, hint);
                self.adopt(name, position, &records);
                self.teach(name, from, reached);
                self.tell_entry(name, Event::Suspects(suspects));
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
                let delivery = Box::new(Verifier::new(request.clone(), attempt));
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
                call.owner_said = Some(fault.kind());
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
            Ok(Piece::Ignored) => {}
            Err(fault) => self.broken(name, request, fault),
        }
    }

    /// Handles the break of an attempt that was admitted.
    pub(crate) fn broken(&mut self, name: &id::Process, request: &Request, fault: Fault) {
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
        let event = Event::Interrupted {
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

fn issued_key(team: &id::Team, issue: &IssuedKey) -> Key {
    Key {
        team: team.clone(),
        text: issue.to_smolstr(),
        owner: Some(issue.owner),
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
