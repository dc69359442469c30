//! Model of the protocol between entries and agents for at most one run per idempotency key: offer,
//! reserve, start, refuse and retry.
//!
//! State: the ledgers of two endpoints (the production type), one entry for each send of a single
//! key, a network that loses, duplicates and reorders messages, and a clock that counts retry
//! horizons. Steps: see [`Step`]; a paused process is modelled by a message that arrives late.
//!
//! Invariants ([`State::violates_invariant`]): the key runs at most once; a send that was
//! reported as not run has not run and never will; no reservation made before an owner's refusal
//! runs after it.
//!
//! An entry accepts the refusal of an offer only before it has sent the start message, because
//! `once::Verifier` ignores verdicts that arrive later.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use conf::Policy;
use fault::Run;
use once::{Decision, Ledger as _, Records, Reservation};
use tokio::time::Instant;
use wire::{Key, Owner, Token};

use crate::sample::{ENDPOINTS, answer, document, key_of_second_endpoint};

/// Rule that the model leaves out, to check that the exploration finds the violation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Defect {
    None,
    /// A run starts with any token of its key, not only the newest.
    NoTokenCheck,
    /// An agent restarts with empty records under its previous incarnation number.
    ReusedIncarnation,
    /// A refusal leaves the earlier reservations of the key valid.
    NoCancelOnRefusal,
    /// A new owner accepts client-supplied keys at once.
    NoSettlingTime,
}

/// Configuration and bounds of an exploration.
#[derive(Clone, Debug)]
pub(crate) struct Spec {
    pub(crate) defect: Defect,
    /// Whether the key is client-supplied, so that its ownership can move.
    pub(crate) supplied: bool,
    pub(crate) sends: usize,
    /// Limit on the number of duplicated messages.
    pub(crate) duplicates: u8,
    /// Limit on the number of crashes.
    pub(crate) crashes: u8,
    /// Limit on the clock, in retry horizons.
    pub(crate) horizons: u32,
    /// Time at which the exploration starts.
    pub(crate) start_time: Instant,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct State {
    agents: [Agent; 2],
    entries: Vec<Entry>,
    network: BTreeSet<Message>,
    /// Retry horizons that have passed.
    clock: u32,
    /// Time at which the set of endpoints changed, in retry horizons.
    published_at: Option<u32>,
    /// Time of the first send, in retry horizons.
    first_send: Option<u32>,
    runs: u8,
    /// Whether a reservation ran that was cancelled before.
    cancelled_ran: bool,
    /// Duplications that are still possible.
    duplicates: u8,
    /// Crashes that are still possible.
    crashes: u8,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Agent {
    records: Records,
    incarnation: u64,
    knows_change: bool,
    /// Newest token of an admitted reservation.
    newest: Token,
    /// Newest token that a refusal has cancelled.
    cancelled: Token,
    /// Send whose run is in progress.
    running: Option<usize>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Entry {
    phase: Phase,
    knows_change: bool,
    /// Whether the send has run, which the entry itself may not know.
    ran: bool,
    reported_not_run: bool,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Phase {
    Idle,
    /// The offer is sent.
    Offered,
    /// The start message is sent.
    Started,
    Ended,
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
    Start {
        send: usize,
        agent: usize,
        token: Token,
    },
    Refused {
        send: usize,
        not_run: bool,
    },
    /// Failure that the owner reports after a start message.
    Failed {
        send: usize,
        not_run: bool,
    },
    Answer {
        send: usize,
    },
}

/// Decision of the admission policy on an offer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Admission {
    Admit,
    Refuse,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Step {
    /// A client sends the key through an entry.
    Send(usize),
    /// An entry gives up its send.
    Abandon(usize),
    /// A message arrives; with `true` it is duplicated and stays in the network.
    Deliver(Message, Admission, bool),
    /// The run at an agent ends: with a complete answer if `true`, else by a lost connection.
    EndRun(usize, bool),
    /// An agent crashes, loses its records and restarts.
    Crash(usize),
    /// The set of endpoints changes.
    Publish,
    /// An agent learns of the change.
    AgentLearns(usize),
    /// An entry learns of the change.
    EntryLearns(usize),
    /// One retry horizon passes.
    Advance,
}

/// Number of the first incarnation, and the difference between two successive ones, in nanoseconds.
const INCARNATION_STEP: u64 = 1000;

impl Spec {
    pub(crate) fn new(defect: Defect, supplied: bool) -> Self {
        Self {
            defect,
            supplied,
            sends: 2,
            duplicates: u8::from(!supplied),
            crashes: 1,
            horizons: if supplied { 4 } else { 0 },
            start_time: Instant::now() + Duration::from_secs(1_000_000),
        }
    }

    pub(crate) fn start(&self) -> State {
        let entry = Entry {
            phase: Phase::Idle,
            knows_change: false,
            ran: false,
            reported_not_run: false,
        };
        State {
            agents: [0, 1].map(|agent| self.agent(agent, 1, false, 0)),
            entries: vec![entry; self.sends],
            network: BTreeSet::new(),
            clock: 0,
            published_at: None,
            first_send: None,
            runs: 0,
            cancelled_ran: false,
            duplicates: self.duplicates,
            crashes: self.crashes,
        }
    }

    /// Creates an agent; in its first incarnation it has run for longer than the settling time.
    fn agent(&self, agent: usize, incarnation: u64, knows_change: bool, clock: u32) -> Agent {
        let ignores_restart =
            [Defect::NoSettlingTime, Defect::ReusedIncarnation].contains(&self.defect);
        let restarted = incarnation > 1 && !ignores_restart;
        let now = self.now(clock);
        let started = if restarted {
            now
        } else {
            self.start_time - Duration::from_secs(100_000)
        };
        let number = if self.defect == Defect::ReusedIncarnation {
            INCARNATION_STEP
        } else {
            incarnation * INCARNATION_STEP
        };
        let mut records = Records::new(ENDPOINTS[agent].into(), number, started);
        records.configure(&document(false), started);
        if knows_change {
            let since = if self.defect == Defect::NoSettlingTime {
                started
            } else {
                now
            };
            records.configure(&document(true), since);
        }
        Agent {
            records,
            incarnation,
            knows_change,
            newest: 0,
            cancelled: 0,
            running: None,
        }
    }

    fn now(&self, clock: u32) -> Instant {
        self.start_time + clock * Policy::default().retry_horizon
    }

    fn key(&self) -> Key {
        let policy = Policy::default();
        // Time since 1970 by the clock of the first incarnation, whose number (its start in
        // nanoseconds) rounds to 0 s, plus the time since its start.
        let expires = 100_000 + policy.retry_horizon.as_secs();
        Key {
            team: "t".into(),
            text: key_of_second_endpoint(),
            owner: (!self.supplied).then_some(Owner {
                incarnation: INCARNATION_STEP,
                expires,
            }),
        }
    }

    pub(crate) fn steps(&self, state: &State) -> Vec<Step> {
        let mut steps = Vec::new();
        for (send, entry) in state.entries.iter().enumerate() {
            match entry.phase {
                Phase::Idle if self.may_send(state, send) => steps.push(Step::Send(send)),
                Phase::Offered | Phase::Started => steps.push(Step::Abandon(send)),
                Phase::Idle | Phase::Ended => {}
            }
            if state.published_at.is_some() && !entry.knows_change && entry.phase == Phase::Idle {
                steps.push(Step::EntryLearns(send));
            }
        }
        for message in &state.network {
            let admissions: &[Admission] = match message {
                Message::Offer { .. } => &[Admission::Admit, Admission::Refuse],
                _ => &[Admission::Admit],
            };
            for admission in admissions {
                steps.push(Step::Deliver(*message, *admission, false));
                if state.duplicates > 0 {
                    steps.push(Step::Deliver(*message, *admission, true));
                }
            }
        }
        for (index, agent) in state.agents.iter().enumerate() {
            if agent.running.is_some() {
                steps.extend([Step::EndRun(index, true), Step::EndRun(index, false)]);
            }
            if state.crashes > 0 && (self.supplied || index == 0) {
                steps.push(Step::Crash(index));
            }
            if state.published_at.is_some() && !agent.knows_change {
                steps.push(Step::AgentLearns(index));
            }
        }
        if self.supplied && state.published_at.is_none() {
            steps.push(Step::Publish);
        }
        if state.clock < self.horizons && self.may_advance(state) {
            steps.push(Step::Advance);
        }
        steps
    }

    /// Returns whether a send may start: sends start in order and within one retry horizon of the
    /// first.
    fn may_send(&self, state: &State, send: usize) -> bool {
        let is_next = state.entries[..send].iter().all(|e| e.phase != Phase::Idle);
        is_next
            && state
                .first_send
                .is_none_or(|first| state.clock <= first + 1)
    }

    /// Returns whether the clock may advance: within a retry horizon each send ends, and each agent
    /// learns of a change.
    fn may_advance(&self, state: &State) -> bool {
        let ended = |e: &Entry| matches!(e.phase, Phase::Idle | Phase::Ended);
        let change_due = state.published_at.is_some_and(|at| state.clock > at);
        state.entries.iter().all(ended)
            && (!change_due || state.agents.iter().all(|a| a.knows_change))
    }

    pub(crate) fn apply(&self, state: &State, step: Step) -> State {
        let mut next = state.clone();
        match step {
            Step::Send(send) => {
                let agent = usize::from(self.supplied && state.entries[send].knows_change);
                next.first_send.get_or_insert(state.clock);
                next.entries[send].phase = Phase::Offered;
                next.network.insert(Message::Offer { send, agent });
            }
            Step::Abandon(send) => {
                let entry = &mut next.entries[send];
                entry.reported_not_run |= entry.phase == Phase::Offered;
                entry.phase = Phase::Ended;
            }
            Step::Deliver(message, admission, duplicate) => {
                if duplicate {
                    next.duplicates -= 1;
                } else {
                    next.network.remove(&message);
                }
                self.deliver(&mut next, message, admission);
            }
            Step::EndRun(agent, complete) => self.end_run(&mut next, agent, complete),
            Step::Crash(agent) => {
                let Agent {
                    incarnation,
                    knows_change,
                    ..
                } = state.agents[agent];
                next.crashes -= 1;
                next.agents[agent] = self.agent(agent, incarnation + 1, knows_change, state.clock);
            }
            Step::Publish => next.published_at = Some(state.clock),
            Step::EntryLearns(send) => next.entries[send].knows_change = true,
            Step::AgentLearns(agent) => {
                let now = self.now(state.clock);
                let ignores_change = self.defect == Defect::NoSettlingTime;
                let since = if ignores_change {
                    self.start_time - Duration::from_secs(50_000)
                } else {
                    now
                };
                next.agents[agent].knows_change = true;
                next.agents[agent].records.configure(&document(true), since);
            }
            Step::Advance => next.clock += 1,
        }
        next
    }

    fn deliver(&self, state: &mut State, message: Message, admission: Admission) {
        match message {
            Message::Offer { send, agent } => self.answer_offer(state, send, agent, admission),
            Message::Start { send, agent, token } => self.start_run(state, send, agent, token),
            Message::Verdict { send, agent, token } => {
                if state.entries[send].phase == Phase::Offered {
                    state.entries[send].phase = Phase::Started;
                    state.network.insert(Message::Start { send, agent, token });
                }
            }
            Message::Refused { send, not_run } => {
                let entry = &mut state.entries[send];
                if entry.phase == Phase::Offered {
                    entry.phase = Phase::Ended;
                    entry.reported_not_run = not_run;
                }
            }
            Message::Failed { send, not_run } => {
                let entry = &mut state.entries[send];
                if entry.phase == Phase::Started {
                    entry.phase = Phase::Ended;
                    entry.reported_not_run = not_run;
                }
            }
            Message::Answer { send } => state.entries[send].phase = Phase::Ended,
        }
    }

    fn answer_offer(&self, state: &mut State, send: usize, index: usize, admission: Admission) {
        if admission == Admission::Refuse && self.defect == Defect::NoCancelOnRefusal {
            state.agents[index].cancelled = state.agents[index].newest;
            state.network.insert(Message::Refused {
                send,
                not_run: true,
            });
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
            Decision::Granted(token) if admission == Admission::Admit => {
                agent.newest = token;
                Message::Verdict {
                    send,
                    agent: index,
                    token,
                }
            }
            Decision::Granted(token) => {
                agent.cancelled = token;
                let not_run = agent.records.cancel(&self.key(), token, now);
                Message::Refused { send, not_run }
            }
            Decision::Replay(_) => Message::Answer { send },
            Decision::Refused(fault) => Message::Refused {
                send,
                not_run: fault.run() == Run::No,
            },
        };
        state.network.insert(reply);
    }

    fn start_run(&self, state: &mut State, send: usize, index: usize, token: Token) {
        let agent = &mut state.agents[index];
        let cancelled = token <= agent.cancelled;
        let token = if self.defect == Defect::NoTokenCheck {
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
                state.cancelled_ran |= cancelled;
                state.entries[send].ran = true;
            }
            Err(fault) => {
                let not_run = fault.run() == Run::No;
                state.network.insert(Message::Failed { send, not_run });
            }
        }
    }

    fn end_run(&self, state: &mut State, agent: usize, complete: bool) {
        let now = self.now(state.clock);
        let agent = &mut state.agents[agent];
        let Some(send) = agent.running.take() else {
            return;
        };
        let answer = complete.then(|| Arc::new(answer()));
        agent.records.finish(&self.key(), answer, now);
        state.network.insert(if complete {
            Message::Answer { send }
        } else {
            Message::Failed {
                send,
                not_run: false,
            }
        });
    }
}

impl State {
    pub(crate) fn violates_invariant(&self) -> bool {
        self.runs > 1
            || self.cancelled_ran
            || self.entries.iter().any(|e| e.reported_not_run && e.ran)
    }

    pub(crate) fn runs(&self) -> u8 {
        self.runs
    }
}
