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
    simulation::{
        AttemptId, Body, Envelope, Outcome, START_NANOS, Simulation, State, Submission, Task,
    },
};

/// Time beyond the queue time of the policy after which an offer without a verdict is withdrawn.
const VERDICT_TIMEOUT: Duration = Duration::from_secs(2);

/// Fake of an entry that uses a routing policy.
pub(crate) struct Entry {
    pub(crate) policy: Box<dyn Policy>,
    pub(crate) links: BTreeMap<id::Endpoint, Link>,
    pub(crate) calls: BTreeMap<Request, Call>,
    pub(crate) shutting_down: bool,
}

/// Request in progress at an entry.
pub(crate) struct Call {
    submission: Submission,
    key: Option<Key>,
    deadline: Instant,
    /// Actions of the routing policy that are not carried out yet.
    actions: VecDeque<Action>,
    pub(crate) stage: Stage,
    /// Whether an earlier attempt may have been run.
    may_have_run: bool,
    /// Kind of the last refusal by an agent, which owns the key if the client sent one.
    owner_refusal: Option<ErrorKind>,
}

pub(crate) enum Stage {
    Idle,
    Offered(Attempt, id::Endpoint),
    /// Admitted; the text is the body received so far, `None` before the head of the answer.
    Admitted(Attempt, id::Endpoint, Box<Verifier>, Option<String>),
}

impl Stage {
    pub(crate) fn attempt(&self) -> Option<(Attempt, &id::Endpoint)> {
        match self {
            Stage::Idle => None,
            Stage::Offered(attempt, endpoint) | Stage::Admitted(attempt, endpoint, ..) => {
                Some((*attempt, endpoint))
            }
        }
    }
}

/// Message from an agent to an entry.
#[derive(Clone, Debug)]
pub(crate) enum Message {
    /// Answer to a heartbeat.
    Heartbeat {
        hint: Hint,
        /// Position of the first of `records` in the published log.
        offset: usize,
        /// Number of records that the agent has.
        known: usize,
        /// Records that the entry lacked when it sent the heartbeat.
        records: Vec<SmolStr>,
        suspects: Vec<Suspect>,
    },
    /// Reply on the stream of an attempt.
    Reply(AttemptId, Reply),
}

#[derive(Clone, Debug)]
pub(crate) enum Timer {
    /// No verdict on an offer came in time.
    Verdict(AttemptId),
    /// The deadline of a request passed.
    Deadline(Request),
}

impl Entry {
    pub(crate) fn new(policy: Box<dyn Policy>) -> Self {
        Self {
            policy,
            links: BTreeMap::new(),
            calls: BTreeMap::new(),
            shutting_down: false,
        }
    }
}

/// # Requests
impl Simulation {
    /// Accepts or refuses a client's request, and passes an accepted one to the routing policy.
    pub(crate) fn accept(&mut self, submission: Submission) {
        let (name, request) = (submission.entry.clone(), submission.request.clone());
        let state = self.processes[&name].state;
        if state != State::Running {
            // A dead entry refuses the connection, which the client sees as a broken one.
            return self.record_outcome(&request, Outcome::Disconnected);
        }
        let Some(document) = self.processes[&name].config.document().cloned() else {
            return self.refuse(&name, &request, ErrorKind::NotReady.into());
        };
        if self.entries[&name].shutting_down {
            return self.refuse(&name, &request, ErrorKind::ShuttingDown.into());
        }
        let kind = Kind::Request {
            team: submission.team.clone(),
            service: submission.service.clone(),
        };
        self.record_event(&name, Some(&request), kind);
        let (key, owner) = self.client_key(&document, &submission);
        if key.is_some() && owner.is_none() {
            return self.refuse(&name, &request, ErrorKind::OwnerLost.into());
        }
        let deadline = self.instant() + document.policy.deadline;
        let descriptor = Descriptor {
            request: request.clone(),
            team: submission.team.clone(),
            service: submission.service.clone(),
            priority: document.services[&submission.service].routes[0].priority,
            repeatable: submission.key.is_none(),
            owner,
            prefixes: vec![fingerprint(&submission)],
            fingerprint: fingerprint(&submission),
            replayable: true,
            deadline,
        };
        let call = Call {
            submission,
            key,
            deadline,
            actions: VecDeque::new(),
            stage: Stage::Idle,
            may_have_run: false,
            owner_refusal: None,
        };
        let incarnation = self.processes[&name].incarnation;
        let timer = Task::EntryTimer(name.clone(), incarnation, Timer::Deadline(request.clone()));
        self.schedule_after(document.policy.deadline, timer);
        self.entry(&name).calls.insert(request, call);
        self.notify_entry(&name, Event::Begin(descriptor));
    }

    /// Returns the key that the client sent, if any, and the endpoint that owns it.
    fn client_key(
        &self,
        document: &Document,
        submission: &Submission,
    ) -> (Option<Key>, Option<id::Endpoint>) {
        let Some(text) = submission.key.as_ref().filter(|_| !submission.keyless) else {
            return (None, None);
        };
        if let Some(issued) = self.issued.get(text) {
            let endpoint = Some(issued.endpoint.clone());
            return (Some(wire_key(&submission.team, issued)), endpoint);
        }
        let key = Key {
            team: submission.team.clone(),
            text: text.clone(),
            owner: None,
        };
        let owner = (self.components.owner)(document, &submission.service, &key);
        (Some(key), owner)
    }

    /// Creates a key that is owned by the current incarnation of an endpoint's agent.
    fn generate_key(&mut self, name: &id::Process, endpoint: &id::Endpoint) -> Option<IssuedKey> {
        let horizon = self.processes[name].config.document()?.policy.retry_horizon;
        let now = Duration::from_nanos(START_NANOS) + self.now;
        let nonce = self.rng.random();
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

    /// Issues a key for an endpoint that takes new work, preferably in the zone of the entry.
    pub(crate) fn issue_key(&mut self, key: SmolStr, service: &id::Service, name: &id::Process) {
        let zone = self.processes[name].zone.clone();
        let Some(document) = self.processes[name].config.document().cloned() else {
            return;
        };
        let links = &self.entry(name).links;
        let open = document.endpoints.iter().filter(|(endpoint, settings)| {
            let link = links.get(*endpoint).filter(|link| link.up);
            settings.service == *service
                && link.is_some_and(|link| link.hint.is_some_and(|hint| hint.open))
        });
        let nearest = open.min_by_key(|(_, settings)| settings.zone != zone);
        let Some(endpoint) = nearest.map(|(endpoint, _)| endpoint.clone()) else {
            return;
        };
        if let Some(issued) = self.generate_key(name, &endpoint) {
            self.issued.insert(key, issued);
        }
    }

    pub(crate) fn entry(&mut self, name: &id::Process) -> &mut Entry {
        self.entries.get_mut(name).expect("the entry is declared")
    }

    /// Passes an event to an entry's routing policy and carries out the actions that it returns.
    pub(crate) fn notify_entry(&mut self, name: &id::Process, event: Event) {
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
            self.perform_next_action(name, &request);
        }
    }

    /// Carries out the next action for a request that has no attempt in progress.
    fn perform_next_action(&mut self, name: &id::Process, request: &Request) {
        let Some(call) = self.entry(name).calls.get_mut(request) else {
            return;
        };
        if !matches!(call.stage, Stage::Idle) {
            return;
        }
        match call.actions.pop_front() {
            Some(Action::Offer {
                attempt, endpoint, ..
            }) => self.send_offer(name, request, attempt, &endpoint),
            Some(Action::Reject { fault, .. }) => self.refuse(name, request, fault),
            Some(Action::Abandon { .. }) => self.perform_next_action(name, request),
            None => {}
        }
    }

    fn send_offer(
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
        self.record_event(name, Some(request), kind);
        let (now, number) = (self.instant(), self.processes[name].config.version().number);
        let entry = self.entry(name);
        let up = entry.links.get(to).is_some_and(|link| link.up);
        let Some(call) = entry.calls.get(request) else {
            return;
        };
        if call.may_have_run && call.submission.key.is_some() {
            return self.refuse(name, request, ErrorKind::Interrupted.into());
        }
        let (keyless, team) = (call.submission.keyless, call.submission.team.clone());
        let issued = if keyless && up {
            self.generate_key(name, to)
        } else {
            None
        };
        if !up || keyless && issued.is_none() {
            let fault = ErrorKind::NoEndpoint.into();
            return self.handle_refusal(name, request, attempt, fault);
        }
        let Some(call) = self.entry(name).calls.get_mut(request) else {
            return;
        };
        if let Some(issued) = issued {
            call.key = Some(wire_key(&team, &issued));
        }
        call.stage = Stage::Offered(attempt, to.clone());
        let offer = Offer {
            submission: call.submission.clone(),
            attempt,
            key: call.key.clone(),
            fingerprint: fingerprint(&call.submission),
            time_left: call.deadline.saturating_duration_since(now),
            version: number,
        };
        self.send_to_agent(name, to, agent::Message::Offer(Box::new(offer)));
        let (incarnation, queue_time) = (self.processes[name].incarnation, self.queue_time(name));
        let attempt_id = (request.clone(), attempt);
        let timer = Task::EntryTimer(name.clone(), incarnation, Timer::Verdict(attempt_id));
        self.schedule_after(VERDICT_TIMEOUT + queue_time, timer);
    }

    fn queue_time(&self, name: &id::Process) -> Duration {
        let document = self.processes[name].config.document();
        document.map_or(Duration::ZERO, |document| document.policy.queue_time)
    }

    pub(crate) fn send_to_agent(
        &mut self,
        name: &id::Process,
        to: &id::Endpoint,
        message: agent::Message,
    ) {
        let from_incarnation = self.processes[name].incarnation;
        let link = self.entry(name).links.get(to).cloned().unwrap_or_default();
        self.send(Envelope {
            from: name.clone(),
            from_incarnation,
            to: to.clone(),
            to_incarnation: link.incarnation,
            epoch: link.epoch,
            body: Body::ToAgent(message),
        });
    }

    pub(crate) fn handle_refusal(
        &mut self,
        name: &id::Process,
        request: &Request,
        attempt: Attempt,
        mut fault: Fault,
    ) {
        if let Some(call) = self.entry(name).calls.get_mut(request) {
            call.stage = Stage::Idle;
            if call.submission.keyless && fault.kind() == ErrorKind::OwnerLost {
                // The key was issued for this offer alone, so nothing has run with it.
                fault = ErrorKind::NoEndpoint.into();
            }
        }
        let event = Event::Refused {
            request: request.clone(),
            attempt,
            fault,
        };
        self.notify_entry(name, event);
    }

    /// Handles an offer without a verdict: if it has no key, it may have been run.
    pub(crate) fn handle_missing_verdict(
        &mut self,
        name: &id::Process,
        request: &Request,
        attempt: Attempt,
    ) {
        let fault = Fault::new(ErrorKind::NoEndpoint);
        let Some(call) = self.entry(name).calls.get_mut(request) else {
            return;
        };
        if call.key.is_some() {
            return self.handle_refusal(name, request, attempt, fault);
        }
        call.stage = Stage::Idle;
        call.may_have_run = true;
        let event = Event::Interrupted {
            request: request.clone(),
            attempt,
            fault: fault.run_unknown(),
            replayable: true,
        };
        self.notify_entry(name, event);
    }

    /// Ends a request with a refusal; the fault says `run: no` only if no attempt can have been
    /// run.
    fn refuse(&mut self, name: &id::Process, request: &Request, fault: Fault) {
        let call = self.entry(name).calls.get(request);
        let may_have_run = |call: &Call| {
            // An earlier request with the client's key may have run; only the key's owner knows.
            let has_client_key = call.key.is_some() && !call.submission.keyless;
            call.may_have_run || has_client_key && call.owner_refusal != Some(fault.kind())
        };
        let fault = if call.is_some_and(may_have_run) {
            fault.run_unknown()
        } else {
            fault
        };
        let kind = Kind::Refusal {
            kind: fault.kind().name().into(),
        };
        self.record_event(name, Some(request), kind);
        self.finish_call(name, request, Outcome::Refused(fault));
    }

    fn finish_call(&mut self, name: &id::Process, request: &Request, outcome: Outcome) {
        self.record_outcome(request, outcome);
        self.entry(name).calls.remove(request);
        let request = request.clone();
        self.notify_entry(name, Event::Ended { request });
    }

    /// Records the outcome of a request unless it has one.
    fn record_outcome(&mut self, request: &Request, outcome: Outcome) {
        let now = self.now;
        if let Some(submission) = self.trace.submissions.get_mut(request) {
            submission.outcome.get_or_insert((now, outcome));
        }
    }

    /// Breaks the connections between an entry that was killed and its clients.
    pub(crate) fn disconnect_clients(&mut self, name: &id::Process) {
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        for request in std::mem::take(&mut entry.calls).into_keys() {
            self.record_outcome(&request, Outcome::Disconnected);
        }
    }
}

/// # Messages and timers
impl Simulation {
    pub(crate) fn handle_entry_message(&mut self, envelope: &Envelope, message: Message) {
        let (name, from) = (&envelope.to, &envelope.from);
        match message {
            Message::Heartbeat {
                hint,
                offset,
                known,
                records,
                suspects,
            } => {
                self.handle_heartbeat(name, from, envelope.epoch, hint);
                self.apply_records(name, offset, &records);
                self.send_missing_records(name, from, known);
                self.notify_entry(name, Event::Suspects(suspects));
            }
            Message::Reply(attempt_id, Reply::Verdict(verdict)) => {
                self.handle_verdict(name, &attempt_id, verdict)
            }
            Message::Reply(attempt_id, reply) => self.handle_reply(name, &attempt_id, reply),
        }
    }

    fn handle_verdict(
        &mut self,
        name: &id::Process,
        (request, attempt): &AttemptId,
        verdict: Verdict,
    ) {
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
        let hint_event = Event::Hint {
            endpoint: endpoint.clone(),
            hint,
        };
        match verdict {
            Verdict::Admitted { token, .. } => {
                let verifier = Box::new(Verifier::new(request.clone(), attempt));
                call.stage = Stage::Admitted(attempt, endpoint.clone(), verifier, None);
                self.notify_entry(name, hint_event);
                let request = request.clone();
                self.notify_entry(
                    name,
                    Event::Admitted {
                        request: request.clone(),
                        attempt,
                    },
                );
                if let Some(token) = token {
                    let start = agent::Message::Start((request, attempt), token);
                    self.send_to_agent(name, &endpoint, start);
                }
            }
            Verdict::Refused { fault, .. } => {
                call.owner_refusal = Some(fault.kind());
                self.notify_entry(name, hint_event);
                self.handle_refusal(name, request, attempt, fault);
            }
        }
    }

    fn handle_reply(&mut self, name: &id::Process, (request, attempt): &AttemptId, reply: Reply) {
        let Some(call) = self.entry(name).calls.get_mut(request) else {
            return;
        };
        let Stage::Admitted(current, _, verifier, body) = &mut call.stage else {
            return;
        };
        if current != attempt {
            return;
        }
        match verifier.accept(reply) {
            Ok(Piece::Head(_)) => *body = Some(String::new()),
            Ok(Piece::Data(data)) => {
                let text = String::from_utf8_lossy(&data);
                body.get_or_insert_default().push_str(&text);
                let (request, attempt) = (request.clone(), *attempt);
                self.notify_entry(name, Event::Progress { request, attempt });
            }
            Ok(Piece::End) => {
                let body = body.take().unwrap_or_default();
                let length = body.len() as u64;
                let kind = Kind::Answer {
                    status: 200,
                    length,
                };
                self.record_event(name, Some(request), kind);
                self.finish_call(name, request, Outcome::Answered { body });
            }
            Ok(Piece::Ignored) => {}
            Err(fault) => self.handle_interruption(name, request, fault),
        }
    }

    /// Handles the failure of an admitted attempt, which may be retried before the answer's head.
    pub(crate) fn handle_interruption(
        &mut self,
        name: &id::Process,
        request: &Request,
        fault: Fault,
    ) {
        let Some(call) = self.entry(name).calls.get_mut(request) else {
            return;
        };
        let Stage::Admitted(attempt, _, _, body) = &call.stage else {
            return;
        };
        if body.is_some() {
            let kind = Kind::Refusal {
                kind: fault.kind().name().into(),
            };
            self.record_event(name, Some(request), kind);
            return self.finish_call(name, request, Outcome::Disconnected);
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
        self.notify_entry(name, event);
    }

    pub(crate) fn handle_entry_timer(&mut self, name: &id::Process, timer: Timer) {
        match timer {
            Timer::Verdict((request, attempt)) => {
                let call = self.entry(name).calls.get(&request);
                let Some(Stage::Offered(current, endpoint)) = call.map(|call| &call.stage) else {
                    return;
                };
                if *current == attempt {
                    let endpoint = endpoint.clone();
                    let withdraw = agent::Message::Withdraw((request.clone(), attempt));
                    self.send_to_agent(name, &endpoint, withdraw);
                    self.handle_missing_verdict(name, &request, attempt);
                }
            }
            Timer::Deadline(request) => {
                let call = self.entry(name).calls.get(&request);
                if let Some((attempt, endpoint)) = call.and_then(|call| call.stage.attempt()) {
                    let endpoint = endpoint.clone();
                    let withdraw = agent::Message::Withdraw((request.clone(), attempt));
                    self.send_to_agent(name, &endpoint, withdraw);
                }
                self.handle_interruption(name, &request, ErrorKind::DeadlineRunning.into());
            }
        }
    }
}

fn wire_key(team: &id::Team, issued: &IssuedKey) -> Key {
    Key {
        team: team.clone(),
        text: issued.to_smolstr(),
        owner: Some(issued.owner),
    }
}

/// Returns the FNV-1a hash of a request's content, equal for requests with the same content.
fn fingerprint(submission: &Submission) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    let content = if submission.poison {
        "poison".to_owned()
    } else {
        submission.expected_answer()
    };
    for byte in content.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    hash
}
