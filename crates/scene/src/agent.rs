use std::{collections::BTreeMap, sync::Arc, time::Duration};

use conf::{Document, Number, id};
use event::Kind;
use fault::{ErrorKind, Fault};
use gate::{Action, Descriptor, Event, Outcome, Policy};
use once::{Decision, Ledger, Reservation};
use smol_str::SmolStr;
use wire::{Attempt, Fingerprint, Key, Reply, Suspect, Token, Verdict};

use crate::{
    entry,
    simulation::{AttemptId, Body, Envelope, Epoch, Simulation, Submission},
};

/// Fake of an agent that uses an admission policy and run records.
pub(crate) struct Agent {
    pub(crate) gate: Box<dyn Policy>,
    pub(crate) ledger: Box<dyn Ledger>,
    pub(crate) jobs: BTreeMap<AttemptId, Job>,
    /// Boot of the engine at the last probe; `None` if it was down or not yet probed.
    pub(crate) last_boot: Option<u64>,
}

/// Attempt that was offered to an agent and has not ended.
pub(crate) struct Job {
    pub(crate) offer: Box<Offer>,
    /// Entry that made the offer, its incarnation and the connection.
    pub(crate) origin: (id::Process, id::Incarnation, Epoch),
    pub(crate) stage: Stage,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Stage {
    /// Waits for admission, with the token of its reserved key.
    Queued(Option<Token>),
    /// Admitted; the reserved key waits for the entry to start the run.
    Admitted(Token),
    Running,
}

/// Attempt that an entry offers for admission.
#[derive(Clone, Debug)]
pub(crate) struct Offer {
    pub(crate) submission: Submission,
    pub(crate) attempt: Attempt,
    pub(crate) key: Option<Key>,
    pub(crate) fingerprint: Fingerprint,
    /// Time until the deadline of the request.
    pub(crate) time_left: Duration,
    /// Version of the configuration at the entry.
    pub(crate) version: Number,
}

/// Message from an entry to an agent.
#[derive(Clone, Debug)]
pub(crate) enum Message {
    /// Heartbeat with the number of records that the entry has and the requests that it suspects.
    Heartbeat(usize, Vec<Suspect>),
    /// Records that the agent lacks, and the position of the first in the published log.
    Records(usize, Vec<SmolStr>),
    Offer(Box<Offer>),
    Withdraw(AttemptId),
    /// Starts the run of an admitted attempt under a reserved key.
    Start(AttemptId, Token),
}

/// Local event of an agent: from its connections and its engine.
#[derive(Clone, Debug)]
pub(crate) enum Notification {
    /// The connection of an entry closed.
    LinkClosed(id::Process, Epoch),
    /// The engine sent the first half of an answer.
    FirstHalf(AttemptId),
    /// The engine sent the second half of an answer.
    Completed(AttemptId),
    /// The engine's connection broke before the answer was complete.
    Disconnected(AttemptId),
}

impl Agent {
    pub(crate) fn new(gate: Box<dyn Policy>, ledger: Box<dyn Ledger>) -> Self {
        Self {
            gate,
            ledger,
            jobs: BTreeMap::new(),
            last_boot: None,
        }
    }
}

/// # Attempts
impl Simulation {
    pub(crate) fn handle_agent_message(&mut self, envelope: &Envelope, message: Message) {
        let name = &envelope.to;
        match message {
            Message::Records(offset, records) => self.apply_records(name, offset, &records),
            Message::Heartbeat(offset, suspects) => {
                self.notify_agent(name, Event::Suspects(suspects));
                self.answer_heartbeat(envelope, offset);
            }
            Message::Offer(offer) => {
                let attempt_id = (offer.submission.request.clone(), offer.attempt);
                let job = Job {
                    offer,
                    origin: (
                        envelope.from.clone(),
                        envelope.from_incarnation,
                        envelope.epoch,
                    ),
                    stage: Stage::Queued(None),
                };
                self.agent(name).jobs.insert(attempt_id.clone(), job);
                self.reserve(name, &attempt_id);
            }
            Message::Withdraw(attempt_id) => self.withdraw(name, &attempt_id),
            Message::Start(attempt_id, token) => self.start_reserved(name, &attempt_id, token),
        }
    }

    pub(crate) fn agent(&mut self, name: &id::Process) -> &mut Agent {
        self.agents.get_mut(name).expect("the endpoint is declared")
    }

    fn descriptor(&self, offer: &Offer) -> Descriptor {
        let priority = self.script.document.services[&offer.submission.service].routes[0].priority;
        Descriptor {
            request: offer.submission.request.clone(),
            attempt: offer.attempt,
            service: offer.submission.service.clone(),
            team: offer.submission.team.clone(),
            priority,
            repeatable: offer.key.is_none(),
            fingerprint: offer.fingerprint,
            deadline: self.instant() + offer.time_left,
            version: offer.version,
        }
    }

    fn answer_heartbeat(&mut self, envelope: &Envelope, offset: usize) {
        let own = &self.processes[&envelope.to].records;
        let (known, records) = (own.len(), own.iter().skip(offset).cloned().collect());
        let now = self.instant();
        let gate = &self.agent(&envelope.to).gate;
        let (hint, suspects) = (gate.hint(), gate.suspects(now));
        self.send(Envelope {
            from: envelope.to.clone(),
            from_incarnation: envelope.to_incarnation,
            to: envelope.from.clone(),
            to_incarnation: envelope.from_incarnation,
            epoch: envelope.epoch,
            body: Body::ToEntry(entry::Message::Heartbeat {
                hint,
                offset,
                known,
                records,
                suspects,
            }),
        });
    }

    /// Passes an event to an agent's admission policy and carries out the actions that it returns.
    pub(crate) fn notify_agent(&mut self, name: &id::Process, event: Event) {
        let now = self.instant();
        let actions = self.agent(name).gate.handle(event, now);
        for action in actions {
            match action {
                Action::Admit { request, attempt } => self.admit(name, &(request, attempt)),
                Action::Refuse {
                    request,
                    attempt,
                    fault,
                } => self.refuse_attempt(name, &(request, attempt), fault),
            }
        }
    }

    /// Refuses an attempt and cancels its reservation.
    fn refuse_attempt(&mut self, name: &id::Process, attempt_id: &AttemptId, mut fault: Fault) {
        let now = self.instant();
        let agent = self.agent(name);
        let job = agent.jobs.get(attempt_id);
        if let Some((Stage::Queued(Some(token)), key)) = job.map(|job| (job.stage, &job.offer.key))
            && let Some(key) = key
            && !agent.ledger.cancel(key, token, now)
        {
            fault = fault.run_unknown();
        }
        let kind = Kind::Refusal {
            kind: fault.kind().name().into(),
        };
        self.record_event(name, Some(&attempt_id.0), kind);
        let hint = self.agent(name).gate.hint();
        self.send_reply(
            name,
            attempt_id,
            Reply::Verdict(Verdict::Refused { fault, hint }),
        );
        self.agent(name).jobs.remove(attempt_id);
    }

    pub(crate) fn send_reply(&mut self, name: &id::Process, attempt_id: &AttemptId, reply: Reply) {
        let from_incarnation = self.processes[name].incarnation;
        let Some(job) = self.agent(name).jobs.get(attempt_id) else {
            return;
        };
        let (to, to_incarnation, epoch) = job.origin.clone();
        self.send(Envelope {
            from: name.clone(),
            from_incarnation,
            to,
            to_incarnation,
            epoch,
            body: Body::ToEntry(entry::Message::Reply(attempt_id.clone(), reply)),
        });
    }

    /// Reserves the key of an attempt, if it has one, before the attempt asks for admission.
    fn reserve(&mut self, name: &id::Process, attempt_id: &AttemptId) {
        let now = self.instant();
        let Some(offer) = self
            .agent(name)
            .jobs
            .get(attempt_id)
            .map(|job| job.offer.clone())
        else {
            return;
        };
        let descriptor = self.descriptor(&offer);
        let Some(key) = offer.key else {
            return self.notify_agent(name, Event::Offer(descriptor));
        };
        let reservation = Reservation {
            key,
            request: attempt_id.0.clone(),
            attempt: attempt_id.1,
            fingerprint: offer.fingerprint,
            deadline: descriptor.deadline,
        };
        match self.agent(name).ledger.reserve(reservation, now) {
            Decision::Granted(token) => {
                if let Some(job) = self.agent(name).jobs.get_mut(attempt_id) {
                    job.stage = Stage::Queued(Some(token));
                }
                self.notify_agent(name, Event::Offer(descriptor));
            }
            Decision::Replay(answer) => {
                let hint = self.agent(name).gate.hint();
                self.send_reply(name, attempt_id, admission(Some(Token::default()), hint));
                self.send_head(name, attempt_id);
                self.send_rest(name, attempt_id, &answer.body, 0);
                self.agent(name).jobs.remove(attempt_id);
            }
            Decision::Refused(fault) => self.refuse_attempt(name, attempt_id, fault),
        }
    }

    /// Reports the admission of an attempt to its entry, and starts the run if it has no key.
    fn admit(&mut self, name: &id::Process, attempt_id: &AttemptId) {
        let agent = self.agent(name);
        let hint = agent.gate.hint();
        let Some(job) = agent.jobs.get_mut(attempt_id) else {
            return;
        };
        let Stage::Queued(token) = job.stage else {
            return;
        };
        if let Some(token) = token {
            job.stage = Stage::Admitted(token);
        }
        self.send_reply(name, attempt_id, admission(token, hint));
        if token.is_none() {
            self.start_run(name, attempt_id);
        }
    }

    fn start_reserved(&mut self, name: &id::Process, attempt_id: &AttemptId, token: Token) {
        let now = self.instant();
        let agent = self.agent(name);
        let Some(key) = agent
            .jobs
            .get(attempt_id)
            .and_then(|job| job.offer.key.clone())
        else {
            return;
        };
        let Err(fault) = agent.ledger.start(&key, token, now) else {
            return self.start_run(name, attempt_id);
        };
        self.send_reply(name, attempt_id, Reply::Failed { fault });
        self.agent(name).jobs.remove(attempt_id);
        let (request, attempt) = attempt_id.clone();
        self.notify_agent(name, Event::Withdrawn { request, attempt });
    }

    /// Applies a configuration to an agent.
    pub(crate) fn configure_agent(
        &mut self,
        name: &id::Process,
        number: Number,
        document: Arc<Document>,
    ) {
        let now = self.instant();
        self.agent(name).ledger.configure(&document, now);
        self.notify_agent(name, Event::Document { number, document });
    }

    pub(crate) fn send_failure(
        &mut self,
        name: &id::Process,
        attempt_id: &AttemptId,
        kind: ErrorKind,
    ) {
        let fault = kind.into();
        self.send_reply(name, attempt_id, Reply::Failed { fault });
    }

    /// Ends an attempt that its entry gives up, except a run with a key, whose answer is recorded.
    pub(crate) fn withdraw(&mut self, name: &id::Process, attempt_id: &AttemptId) {
        let now = self.instant();
        let agent = self.agent(name);
        let Some(job) = agent.jobs.get(attempt_id) else {
            return;
        };
        let (stage, key) = (job.stage, job.offer.key.clone());
        let (request, attempt) = attempt_id.clone();
        let event = match (stage, key) {
            (Stage::Running, Some(_)) => return,
            (Stage::Running, None) => {
                if let Some(engine) = self.engines.get_mut(name) {
                    engine.running.remove(attempt_id);
                }
                let outcome = Outcome::Cancelled;
                Event::Finished {
                    request,
                    attempt,
                    outcome,
                }
            }
            (Stage::Queued(Some(token)) | Stage::Admitted(token), Some(key)) => {
                agent.ledger.cancel(&key, token, now);
                Event::Withdrawn { request, attempt }
            }
            (Stage::Queued(_) | Stage::Admitted(_), _) => Event::Withdrawn { request, attempt },
        };
        self.agent(name).jobs.remove(attempt_id);
        self.notify_agent(name, event);
    }
}

fn admission(token: Option<Token>, hint: wire::Hint) -> Reply {
    Reply::Verdict(Verdict::Admitted { token, hint })
}

pub(crate) fn endpoint_zone(simulation: &Simulation, endpoint: &SmolStr) -> id::Zone {
    simulation.script.document.endpoints[endpoint].zone.clone()
}
