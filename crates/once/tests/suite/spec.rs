//! Specification of reserve, go, refuse and ask again.
//!
//! State: the ledgers of two endpoints (the production type), one entry for each send of a single
//! key, a network that loses, duplicates and reorders, and the clock in horizons.
//! Steps: see [`Step`]. A pause is a message that is delivered late.
//! Invariants ([`State::broken`]): the key runs at most once; a send that was told "not run" has
//! not run and never does; nothing that was reserved before an owner's refusal runs after it.
//!
//! An entry takes the refusal of an offer only before it has sent the go: the check of the answer
//! (`once::Verifier`) drops verdicts that come later.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use conf::Policy;
use fault::Run;
use once::{Decision, Ledger as _, Records, Reservation};
use tokio::time::Instant;
use wire::{Key, Owner, Token};

use crate::sample::{ENDPOINTS, answer, document, moving_key};

/// Rule that a specification leaves out, to see that its loss is found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Seeded {
    Nothing,
    NoTokenCheck,
    ForgetfulRestart,
    RefusalKeepsTokens,
    NoSettling,
}

/// Bounds of an exploration.
#[derive(Clone, Debug)]
pub(crate) struct Spec {
    pub(crate) seeded: Seeded,
    /// Whether the caller made the key itself, so that ownership can move.
    pub(crate) own: bool,
    pub(crate) sends: usize,
    pub(crate) duplicates: u8,
    pub(crate) crashes: u8,
    pub(crate) horizons: u32,
    pub(crate) base: Instant,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct State {
    agents: [Agent; 2],
    entries: Vec<Entry>,
    network: BTreeSet<Message>,
    clock: u32,
    published: Option<u32>,
    first: Option<u32>,
    runs: u8,
    void_ran: bool,
    duplicates: u8,
    crashes: u8,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Agent {
    records: Records,
    life: u64,
    changed: bool,
    newest: Token,
    /// Newest token that a refusal has made void.
    void: Token,
    running: Option<usize>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Entry {
    phase: Phase,
    changed: bool,
    ran: bool,
    told_no: bool,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Phase {
    Idle,
    Offered,
    Going,
    Over,
}

#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) enum Message {
    Offer {
        send: usize,
        agent: usize,
    },
    Verdict {
        send: usize,
        agent: usize,
        token: Token,
    },
    Go {
        send: usize,
        agent: usize,
        token: Token,
    },
    Refused {
        send: usize,
        no: bool,
    },
    /// The owner's word after a go.
    Failed {
        send: usize,
        no: bool,
    },
    Answer {
        send: usize,
    },
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Gate {
    Admits,
    Refuses,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Step {
    /// A caller sends the key through an entry.
    Send(usize),
    /// An entry gives up.
    GiveUp(usize),
    /// A message arrives; it stays in the network if it is duplicated.
    Deliver(Message, Gate, bool),
    /// A run ends with an answer, or its connection drops.
    End(usize, bool),
    /// An agent dies with all it knows and starts again.
    Crash(usize),
    /// The endpoints change.
    Publish,
    /// An agent or an entry learns of the change.
    AgentLearns(usize),
    EntryLearns(usize),
    /// A horizon passes.
    Pass,
}

/// Number of the first life; that of each next one is larger by this.
const LIFE: u64 = 1000;

impl Spec {
    pub(crate) fn new(seeded: Seeded, own: bool) -> Self {
        Self {
            seeded,
            own,
            sends: 2,
            duplicates: u8::from(!own),
            crashes: 1,
            horizons: if own { 4 } else { 0 },
            base: Instant::now() + Duration::from_secs(1_000_000),
        }
    }

    pub(crate) fn start(&self) -> State {
        let entry = Entry {
            phase: Phase::Idle,
            changed: false,
            ran: false,
            told_no: false,
        };
        State {
            agents: [0, 1].map(|agent| self.agent(agent, 1, false, 0)),
            entries: vec![entry; self.sends],
            network: BTreeSet::new(),
            clock: 0,
            published: None,
            first: None,
            runs: 0,
            void_ran: false,
            duplicates: self.duplicates,
            crashes: self.crashes,
        }
    }

    /// Makes an agent; one of the first life has served for long.
    fn agent(&self, agent: usize, life: u64, changed: bool, clock: u32) -> Agent {
        let remembered = [Seeded::NoSettling, Seeded::ForgetfulRestart].contains(&self.seeded);
        let young = life > 1 && !remembered;
        let now = self.now(clock);
        let born = if young {
            now
        } else {
            self.base - Duration::from_secs(100_000)
        };
        let number = if self.seeded == Seeded::ForgetfulRestart {
            LIFE
        } else {
            life * LIFE
        };
        let mut records = Records::new(ENDPOINTS[agent].into(), number, born);
        records.configure(&document(false), born);
        if changed {
            let since = if self.seeded == Seeded::NoSettling {
                born
            } else {
                now
            };
            records.configure(&document(true), since);
        }
        Agent {
            records,
            life,
            changed,
            newest: 0,
            void: 0,
            running: None,
        }
    }

    fn now(&self, clock: u32) -> Instant {
        self.base + clock * Policy::default().retry_horizon
    }

    fn key(&self) -> Key {
        let policy = Policy::default();
        // The clock of the first life: its number in nanoseconds, and what has passed since.
        let expires = 100_000 + policy.retry_horizon.as_secs();
        Key {
            team: "t".into(),
            text: moving_key(),
            owner: (!self.own).then_some(Owner {
                incarnation: LIFE,
                expires,
            }),
        }
    }

    pub(crate) fn steps(&self, state: &State) -> Vec<Step> {
        let mut steps = Vec::new();
        for (send, entry) in state.entries.iter().enumerate() {
            match entry.phase {
                Phase::Idle if self.may_send(state, send) => steps.push(Step::Send(send)),
                Phase::Offered | Phase::Going => steps.push(Step::GiveUp(send)),
                Phase::Idle | Phase::Over => {}
            }
            if state.published.is_some() && !entry.changed && entry.phase == Phase::Idle {
                steps.push(Step::EntryLearns(send));
            }
        }
        for message in &state.network {
            let gates: &[Gate] = match message {
                Message::Offer { .. } => &[Gate::Admits, Gate::Refuses],
                _ => &[Gate::Admits],
            };
            for gate in gates {
                steps.push(Step::Deliver(*message, *gate, false));
                if state.duplicates > 0 {
                    steps.push(Step::Deliver(*message, *gate, true));
                }
            }
        }
        for (index, agent) in state.agents.iter().enumerate() {
            if agent.running.is_some() {
                steps.extend([Step::End(index, true), Step::End(index, false)]);
            }
            if state.crashes > 0 && (self.own || index == 0) {
                steps.push(Step::Crash(index));
            }
            if state.published.is_some() && !agent.changed {
                steps.push(Step::AgentLearns(index));
            }
        }
        if self.own && state.published.is_none() {
            steps.push(Step::Publish);
        }
        if state.clock < self.horizons && self.may_pass(state) {
            steps.push(Step::Pass);
        }
        steps
    }

    /// Callers repeat a request in its order and for one horizon only.
    fn may_send(&self, state: &State, send: usize) -> bool {
        let next = state.entries[..send].iter().all(|e| e.phase != Phase::Idle);
        next && state.first.is_none_or(|first| state.clock <= first + 1)
    }

    /// Within a horizon each call ends, and each agent that lives learns of a change.
    fn may_pass(&self, state: &State) -> bool {
        let ended = |e: &Entry| matches!(e.phase, Phase::Idle | Phase::Over);
        let late = state.published.is_some_and(|at| state.clock > at);
        state.entries.iter().all(ended) && (!late || state.agents.iter().all(|a| a.changed))
    }

    pub(crate) fn apply(&self, state: &State, step: Step) -> State {
        let mut next = state.clone();
        match step {
            Step::Send(send) => {
                let agent = usize::from(self.own && state.entries[send].changed);
                next.first.get_or_insert(state.clock);
                next.entries[send].phase = Phase::Offered;
                next.network.insert(Message::Offer { send, agent });
            }
            Step::GiveUp(send) => {
                let entry = &mut next.entries[send];
                entry.told_no |= entry.phase == Phase::Offered;
                entry.phase = Phase::Over;
            }
            Step::Deliver(message, gate, duplicate) => {
                if duplicate {
                    next.duplicates -= 1;
                } else {
                    next.network.remove(&message);
                }
                self.deliver(&mut next, message, gate);
            }
            Step::End(agent, whole) => self.end(&mut next, agent, whole),
            Step::Crash(agent) => {
                let Agent { life, changed, .. } = state.agents[agent];
                next.crashes -= 1;
                next.agents[agent] = self.agent(agent, life + 1, changed, state.clock);
            }
            Step::Publish => next.published = Some(state.clock),
            Step::EntryLearns(send) => next.entries[send].changed = true,
            Step::AgentLearns(agent) => {
                let now = self.now(state.clock);
                let settled = self.seeded == Seeded::NoSettling;
                let since = if settled {
                    self.base - Duration::from_secs(50_000)
                } else {
                    now
                };
                next.agents[agent].changed = true;
                next.agents[agent].records.configure(&document(true), since);
            }
            Step::Pass => next.clock += 1,
        }
        next
    }

    fn deliver(&self, state: &mut State, message: Message, gate: Gate) {
        match message {
            Message::Offer { send, agent } => self.offered(state, send, agent, gate),
            Message::Go { send, agent, token } => self.go(state, send, agent, token),
            Message::Verdict { send, agent, token } => {
                if state.entries[send].phase == Phase::Offered {
                    state.entries[send].phase = Phase::Going;
                    state.network.insert(Message::Go { send, agent, token });
                }
            }
            Message::Refused { send, no } => {
                let entry = &mut state.entries[send];
                if entry.phase == Phase::Offered {
                    entry.phase = Phase::Over;
                    entry.told_no = no;
                }
            }
            Message::Failed { send, no } => {
                let entry = &mut state.entries[send];
                if entry.phase == Phase::Going {
                    entry.phase = Phase::Over;
                    entry.told_no = no;
                }
            }
            Message::Answer { send } => state.entries[send].phase = Phase::Over,
        }
    }

    fn offered(&self, state: &mut State, send: usize, index: usize, gate: Gate) {
        if gate == Gate::Refuses && self.seeded == Seeded::RefusalKeepsTokens {
            state.agents[index].void = state.agents[index].newest;
            state.network.insert(Message::Refused { send, no: true });
            return;
        }
        let now = self.now(state.clock);
        let reserve = Reservation {
            key: self.key(),
            request: "r".into(),
            attempt: 1,
            fingerprint: 1,
            deadline: now + Policy::default().deadline,
        };
        let agent = &mut state.agents[index];
        let reply = match agent.records.reserve(reserve, now) {
            Decision::Granted(token) if gate == Gate::Admits => {
                agent.newest = token;
                Message::Verdict {
                    send,
                    agent: index,
                    token,
                }
            }
            Decision::Granted(token) => {
                agent.void = token;
                let no = agent.records.cancel(&self.key(), token, now);
                Message::Refused { send, no }
            }
            Decision::Replay(_) => Message::Answer { send },
            Decision::Refused(fault) => Message::Refused {
                send,
                no: fault.run() == Run::No,
            },
        };
        state.network.insert(reply);
    }

    fn go(&self, state: &mut State, send: usize, index: usize, token: Token) {
        let agent = &mut state.agents[index];
        let void = token <= agent.void;
        let token = if self.seeded == Seeded::NoTokenCheck {
            agent.newest
        } else {
            token
        };
        match agent
            .records
            .start(&self.key(), token, self.now(state.clock))
        {
            Ok(()) => {
                agent.running = Some(send);
                state.runs += 1;
                state.void_ran |= void;
                state.entries[send].ran = true;
            }
            Err(fault) => {
                let no = fault.run() == Run::No;
                state.network.insert(Message::Failed { send, no });
            }
        }
    }

    fn end(&self, state: &mut State, agent: usize, whole: bool) {
        let now = self.now(state.clock);
        let agent = &mut state.agents[agent];
        let Some(send) = agent.running.take() else {
            return;
        };
        let answer = whole.then(|| Arc::new(answer()));
        agent.records.finish(&self.key(), answer, now);
        state.network.insert(if whole {
            Message::Answer { send }
        } else {
            Message::Failed { send, no: false }
        });
    }
}

impl State {
    pub(crate) fn broken(&self) -> bool {
        self.runs > 1 || self.void_ran || self.entries.iter().any(|e| e.told_no && e.ran)
    }

    pub(crate) fn runs(&self) -> u8 {
        self.runs
    }
}
