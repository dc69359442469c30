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
    world::{Body, Envelope, Epoch, Sent, Target, World},
};

/// Fake of an agent around the real admission policy and run records.
pub(crate) struct Agent {
    pub(crate) gate: Box<dyn Policy>,
    pub(crate) ledger: Box<dyn Ledger>,
    pub(crate) held: BTreeMap<Target, Held>,
    pub(crate) seen: Option<u64>,
}

/// Attempt that the agent knows.
pub(crate) struct Held {
    pub(crate) offer: Box<Offer>,
    pub(crate) entry: (id::Process, id::Incarnation, Epoch),
    pub(crate) stage: Stage,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Stage {
    Waiting(Option<Token>),
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
    /// Heartbeat with the sender's place in the published log and what it suspects.
    Beat(usize, Vec<Suspect>),
    /// Records after a place in the log, which the receiver lacks.
    Teach(usize, Vec<SmolStr>),
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

/// # Attempts
impl World {
    pub(crate) fn agent_message(&mut self, envelope: &Envelope, message: Message) {
        let name = &envelope.to;
        match message {
            Message::Teach(after, records) => self.adopt(name, after, &records),
            Message::Beat(position, suspects) => {
                self.tell_agent(name, Event::Suspects(suspects));
                self.answer_beat(envelope, position);
            }
            Message::Offer(offer) => {
                let target = (offer.sent.request.clone(), offer.attempt);
                let held = Held {
                    offer,
                    entry: (envelope.from.clone(), envelope.from_life, envelope.epoch),
                    stage: Stage::Waiting(None),
                };
                self.agent(name).held.insert(target.clone(), held);
                self.reserve(name, &target);
            }
            Message::Withdraw(target) => self.withdraw(name, &target),
            Message::Go(target, token) => self.go(name, &target, token),
        }
    }

    pub(crate) fn agent(&mut self, name: &id::Process) -> &mut Agent {
        self.agents.get_mut(name).expect("the endpoint is declared")
    }

    fn ask(&self, offer: &Offer) -> Descriptor {
        let priority = self.script.document.services[&offer.sent.service].routes[0].priority;
        Descriptor {
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

    fn answer_beat(&mut self, envelope: &Envelope, position: usize) {
        let own = &self.processes[&envelope.to].records;
        let (reached, records) = (own.len(), own.iter().skip(position).cloned().collect());
        let now = self.instant();
        let gate = &self.agent(&envelope.to).gate;
        let (hint, suspects) = (gate.hint(), gate.suspects(now));
        self.send(Envelope {
            from: envelope.to.clone(),
            from_life: envelope.to_life,
            to: envelope.from.clone(),
            to_life: envelope.from_life,
            epoch: envelope.epoch,
            body: Body::ToEntry(entry::Message::Beat {
                hint,
                position,
                reached,
                records,
                suspects,
            }),
        });
    }

    /// Tells an admission policy an event and carries out what it wants.
    pub(crate) fn tell_agent(&mut self, name: &id::Process, event: Event) {
        let now = self.instant();
        let actions = self.agent(name).gate.handle(event, now);
        for action in actions {
            match action {
                Action::Admit { request, attempt } => self.admit(name, &(request, attempt)),
                Action::Refuse {
                    request,
                    attempt,
                    fault,
                } => self.turn_away(name, &(request, attempt), fault),
            }
        }
    }

    /// Refuses an attempt; a reservation is void from then on.
    fn turn_away(&mut self, name: &id::Process, target: &Target, mut fault: Fault) {
        let now = self.instant();
        let agent = self.agent(name);
        let held = agent.held.get(target);
        if let Some((Stage::Waiting(Some(token)), key)) = held.map(|h| (h.stage, &h.offer.key))
            && let Some(key) = key
            && !agent.ledger.cancel(key, token, now)
        {
            fault = fault.run_unknown();
        }
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

    pub(crate) fn reply_to(&mut self, name: &id::Process, target: &Target, reply: Reply) {
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

    /// Reserve stage: makes a record for an attempt that may not be repeated.
    fn reserve(&mut self, name: &id::Process, target: &Target) {
        let now = self.instant();
        let Some(offer) = self.agent(name).held.get(target).map(|h| h.offer.clone()) else {
            return;
        };
        let ask = self.ask(&offer);
        let Some(key) = offer.key else {
            return self.tell_agent(name, Event::Offer(ask));
        };
        let reserve = Reservation {
            key,
            request: target.0.clone(),
            attempt: target.1,
            fingerprint: offer.fingerprint,
            deadline: ask.deadline,
        };
        match self.agent(name).ledger.reserve(reserve, now) {
            Decision::Granted(token) => {
                if let Some(held) = self.agent(name).held.get_mut(target) {
                    held.stage = Stage::Waiting(Some(token));
                }
                self.tell_agent(name, Event::Offer(ask));
            }
            Decision::Replay(answer) => {
                let hint = self.agent(name).gate.hint();
                self.reply_to(name, target, admitted(Some(Token::default()), hint));
                self.send_head(name, target);
                self.send_rest(name, target, &answer.body, 0);
                self.agent(name).held.remove(target);
            }
            Decision::Refused(fault) => self.turn_away(name, target, fault),
        }
    }

    /// Tells the entry that its attempt is admitted; one without a key starts at once.
    fn admit(&mut self, name: &id::Process, target: &Target) {
        let agent = self.agent(name);
        let hint = agent.gate.hint();
        let Some(held) = agent.held.get_mut(target) else {
            return;
        };
        let Stage::Waiting(token) = held.stage else {
            return;
        };
        if let Some(token) = token {
            held.stage = Stage::Reserved(token);
        }
        self.reply_to(name, target, admitted(token, hint));
        if token.is_none() {
            self.start_run(name, target);
        }
    }

    fn go(&mut self, name: &id::Process, target: &Target, token: Token) {
        let now = self.instant();
        let agent = self.agent(name);
        let Some(key) = agent.held.get(target).and_then(|h| h.offer.key.clone()) else {
            return;
        };
        let Err(fault) = agent.ledger.start(&key, token, now) else {
            return self.start_run(name, target);
        };
        self.reply_to(name, target, Reply::Failed { fault });
        self.agent(name).held.remove(target);
        let (request, attempt) = target.clone();
        self.tell_agent(name, Event::Withdrawn { request, attempt });
    }

    /// Brings a configuration into force at an agent.
    pub(crate) fn adopt_agent(
        &mut self,
        name: &id::Process,
        number: Number,
        document: Arc<Document>,
    ) {
        let now = self.instant();
        self.agent(name).ledger.configure(&document, now);
        self.tell_agent(name, Event::Document { number, document });
    }

    pub(crate) fn fail(&mut self, name: &id::Process, target: &Target, kind: ErrorKind) {
        let fault = kind.into();
        self.reply_to(name, target, Reply::Failed { fault });
    }

    /// Frees what an attempt holds that its entry no longer wants; a run under a key goes on.
    pub(crate) fn withdraw(&mut self, name: &id::Process, target: &Target) {
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
            (Stage::Waiting(Some(token)) | Stage::Reserved(token), Some(key)) => {
                agent.ledger.cancel(&key, token, now);
                Event::Withdrawn { request, attempt }
            }
            (Stage::Waiting(_) | Stage::Reserved(_), _) => Event::Withdrawn { request, attempt },
        };
        self.agent(name).held.remove(target);
        self.tell_agent(name, event);
    }
}

fn admitted(token: Option<Token>, hint: wire::Hint) -> Reply {
    Reply::Verdict(Verdict::Admitted { token, hint })
}

/// Name under which a service's endpoints are found.
pub(crate) fn zone_of(world: &World, endpoint: &SmolStr) -> id::Zone {
    world.script.document.endpoints[endpoint].zone.clone()
}
