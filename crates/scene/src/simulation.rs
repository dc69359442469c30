use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use conf::{Document, Fold, Number, id};
use event::{Event, Kind};
use fault::Fault;
use once::IssuedKey;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use smol_str::SmolStr;
use tokio::time::Instant;
use wire::{Attempt, Request};

use crate::{
    Components, Script, Step,
    agent::{self, Agent},
    check,
    engine::{self, Engine},
    entry::{self, Entry},
};

/// Delay of a message without jitter.
pub(crate) const MIN_LATENCY: Duration = Duration::from_millis(1);
/// Bound of the random delay of a message beyond [`MIN_LATENCY`], and of the offset of a process's
/// ticks, in microseconds; exclusive.
const MAX_JITTER_MICROS: u64 = 500;
/// Interval between the ticks of a process.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Number of ticks from one heartbeat or read of the platform to the next.
const HEARTBEAT_TICKS: u64 = 5;
/// Start of each scenario, in nanoseconds since the Unix epoch.
pub(crate) const START_NANOS: u64 = 1_800_000_000_000_000_000;

/// Number of a connection from an entry to an agent; incremented when the link is closed.
pub(crate) type Epoch = u64;
/// Request and the number of an attempt at it.
pub(crate) type AttemptId = (Request, Attempt);

/// Result of a simulation.
#[derive(Clone, Debug)]
pub struct Report {
    /// Events of all processes, in the order in which they occurred.
    pub events: Vec<Event>,
    /// Failed invariants and expectations, one description each; empty if the scenario passed.
    pub failures: Vec<String>,
}

impl Report {
    /// Returns the events as text, one per line: seconds, process, request (or `-`) and event.
    #[must_use]
    pub fn timeline(&self) -> String {
        let line = |event: &Event| {
            let request = event.request.as_deref().unwrap_or("-");
            let (seconds, micros) = (event.stamp / 1_000_000, event.stamp % 1_000_000);
            format!(
                "{seconds:3}.{micros:06} {:10} {request:6} {}\n",
                event.process, event.kind
            )
        };
        self.events.iter().map(line).collect()
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum State {
    Running,
    Paused,
    Dead,
}

/// State that entries and agents have in common.
pub(crate) struct Process {
    pub(crate) zone: id::Zone,
    pub(crate) incarnation: id::Incarnation,
    pub(crate) state: State,
    pub(crate) config: Fold,
    /// Published records that the process has applied to `config`, oldest first.
    pub(crate) records: Vec<SmolStr>,
    /// Tasks that became due while the process was paused, in order.
    pub(crate) deferred: Vec<Task>,
}

/// Message between two incarnations of processes.
#[derive(Clone, Debug)]
pub(crate) struct Envelope {
    pub(crate) from: id::Process,
    pub(crate) from_incarnation: id::Incarnation,
    pub(crate) to: id::Process,
    pub(crate) to_incarnation: id::Incarnation,
    pub(crate) epoch: Epoch,
    pub(crate) body: Body,
}

#[derive(Clone, Debug)]
pub(crate) enum Body {
    ToAgent(agent::Message),
    ToEntry(entry::Message),
}

/// Work that the queue schedules for a time.
#[derive(Clone, Debug)]
pub(crate) enum Task {
    Step(Step),
    Submission(Submission),
    Message(Envelope),
    /// Tick of a process and its number, from 0.
    Tick(id::Process, id::Incarnation, u64),
    /// Records that the platform returns to a process, and the position of the first in the log.
    Records(id::Process, id::Incarnation, usize, Vec<SmolStr>),
    EntryTimer(id::Process, id::Incarnation, entry::Timer),
    AgentNotification(id::Process, id::Incarnation, agent::Notification),
    EngineTimer(id::Endpoint, engine::Timer),
}

impl Task {
    /// Returns the process that performs the task, and the only incarnation that may do so.
    fn performer(&self) -> Option<(&id::Process, id::Incarnation)> {
        match self {
            Task::Message(envelope) => Some((&envelope.to, envelope.to_incarnation)),
            Task::Tick(name, incarnation, _)
            | Task::Records(name, incarnation, ..)
            | Task::EntryTimer(name, incarnation, _)
            | Task::AgentNotification(name, incarnation, _) => Some((name, *incarnation)),
            Task::Step(_) | Task::Submission(_) | Task::EngineTimer(..) => None,
        }
    }
}

/// Request that a client sends to an entry.
#[derive(Clone, Debug)]
pub(crate) struct Submission {
    pub(crate) request: Request,
    pub(crate) entry: id::Process,
    pub(crate) service: id::Service,
    pub(crate) team: id::Team,
    /// Key under which the request runs at most once; `None` if it may be repeated.
    pub(crate) key: Option<SmolStr>,
    /// Whether the client sent no key although one is needed; the entry then issues one per offer.
    pub(crate) keyless: bool,
    pub(crate) poison: bool,
    pub(crate) sent_at: Duration,
    pub(crate) outcome: Option<(Duration, Outcome)>,
}

impl Submission {
    /// Returns the only correct answer, which contains the key or else the request, and the team.
    pub(crate) fn expected_answer(&self) -> String {
        let content = self.key.as_ref().unwrap_or(&self.request);
        format!("answer to {content} of {}", self.team)
    }
}

/// Result of a request as the client sees it.
#[derive(Clone, Debug)]
pub(crate) enum Outcome {
    Answered { body: String },
    Refused(Fault),
    Disconnected,
}

/// Start of a request at an engine.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) request: Request,
    pub(crate) endpoint: id::Endpoint,
    pub(crate) at: Duration,
    /// Number of requests in flight at the engine, with this one.
    pub(crate) load: u64,
}

/// Observations that the checks evaluate after the end.
#[derive(Default)]
pub(crate) struct Trace {
    pub(crate) submissions: BTreeMap<Request, Submission>,
    pub(crate) runs: Vec<Run>,
    /// Times at which an engine got more requests than its capacity.
    pub(crate) overloads: Vec<(Duration, id::Endpoint)>,
    /// Number of engine crashes caused by overload or a poison request.
    pub(crate) crashes: u64,
    /// Versions that processes applied, in order of time.
    pub(crate) versions: Vec<(Duration, id::Process, id::Incarnation, Number)>,
    pub(crate) events: Vec<Event>,
}

/// State of the platform, which serves the published records.
pub(crate) enum Platform {
    Down,
    /// Only this many of the first records are served.
    Stale(usize),
    Up,
}

/// State of a running simulation.
pub(crate) struct Simulation {
    pub(crate) script: Script,
    pub(crate) components: Components,
    pub(crate) processes: BTreeMap<id::Process, Process>,
    pub(crate) entries: BTreeMap<id::Process, Entry>,
    pub(crate) agents: BTreeMap<id::Process, Agent>,
    pub(crate) engines: BTreeMap<id::Endpoint, Engine>,
    pub(crate) trace: Trace,
    /// Time since the start of the scenario.
    pub(crate) now: Duration,
    /// Issued keys by their name in the scenario.
    pub(crate) issued: BTreeMap<SmolStr, IssuedKey>,
    start_instant: Instant,
    pub(crate) rng: ChaCha8Rng,
    /// Scheduled tasks by time and, for the same time, in the order of scheduling.
    queue: BTreeMap<(Duration, u64), Task>,
    /// Number of tasks scheduled so far.
    sequence: u64,
    /// Configuration of the latest version, which further steps change.
    pub(crate) document: Document,
    /// Published log: one JSON record for each version.
    pub(crate) published: Vec<SmolStr>,
    pub(crate) platform: Platform,
    /// Pairs of sides whose messages are lost.
    pub(crate) partitions: BTreeSet<(SmolStr, SmolStr)>,
    /// Additional delay of messages between pairs of sides.
    pub(crate) delays: BTreeMap<(SmolStr, SmolStr), Duration>,
    /// Connections between an entry and an agent that lose all messages.
    pub(crate) silent_links: BTreeSet<(id::Process, id::Process, Epoch)>,
    /// Arrival time of the last message from one process to another.
    last_arrivals: HashMap<(id::Process, id::Process), Duration>,
}

/// Simulates a scenario to its end and checks its invariants and expectations.
#[must_use]
pub fn run(script: &Script, components: Components) -> Report {
    let mut simulation = Simulation::new(script, components);
    while let Some(((at, _), task)) = simulation.queue.pop_first() {
        if at > script.end {
            break;
        }
        simulation.now = at;
        simulation.dispatch(task);
    }
    simulation.now = script.end;
    let failures = check::check(&simulation);
    Report {
        events: simulation.trace.events,
        failures,
    }
}

/// # Construction
impl Simulation {
    fn new(script: &Script, components: Components) -> Self {
        let mut simulation = Self {
            script: script.clone(),
            components,
            processes: BTreeMap::new(),
            entries: BTreeMap::new(),
            agents: BTreeMap::new(),
            engines: BTreeMap::new(),
            trace: Trace::default(),
            now: Duration::ZERO,
            issued: BTreeMap::new(),
            start_instant: Instant::now(),
            rng: ChaCha8Rng::seed_from_u64(script.seed),
            queue: BTreeMap::new(),
            sequence: 0,
            document: script.document.clone(),
            published: Vec::new(),
            platform: Platform::Up,
            partitions: BTreeSet::new(),
            delays: BTreeMap::new(),
            silent_links: BTreeSet::new(),
            last_arrivals: HashMap::new(),
        };
        simulation.publish();
        let engines = script.engines.clone();
        for (endpoint, settings) in &engines {
            let engine = Engine::new(settings.run_time);
            simulation.engines.insert(endpoint.clone(), engine);
            simulation.start_process(endpoint);
        }
        for entry in script.entries.keys() {
            simulation.start_process(entry);
        }
        for (at, step) in &script.steps {
            simulation.schedule_at(*at, Task::Step(step.clone()));
        }
        simulation
    }

    pub(crate) fn start_process(&mut self, name: &id::Process) {
        let zone = match self.script.entries.get(name) {
            Some(zone) => zone.clone(),
            None => self.script.document.endpoints[name].zone.clone(),
        };
        let incarnation = START_NANOS + u64::try_from(self.now.as_nanos()).unwrap_or(u64::MAX);
        let process = Process {
            zone: zone.clone(),
            incarnation,
            state: State::Running,
            config: Fold::default(),
            records: Vec::new(),
            deferred: Vec::new(),
        };
        self.processes.insert(name.clone(), process);
        let now = self.instant();
        if self.script.entries.contains_key(name) {
            let policy = (self.components.route)(&zone, incarnation, now);
            self.entries.insert(name.clone(), Entry::new(policy));
        } else {
            let gate = (self.components.gate)(name, incarnation, now);
            let ledger = (self.components.ledger)(name, incarnation, now);
            self.agents.insert(name.clone(), Agent::new(gate, ledger));
        }
        let offset = Duration::from_micros(self.rng.random_range(0..MAX_JITTER_MICROS));
        self.schedule_after(offset, Task::Tick(name.clone(), incarnation, 0));
    }
}

/// # Scheduling and messages
impl Simulation {
    /// Returns the current virtual time, as passed to the decision code.
    pub(crate) fn instant(&self) -> Instant {
        self.start_instant + self.now
    }

    pub(crate) fn schedule_at(&mut self, at: Duration, task: Task) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), task);
    }

    pub(crate) fn schedule_after(&mut self, delay: Duration, task: Task) {
        self.schedule_at(self.now + delay, task);
    }

    /// Sends a message, which is lost or arrives after all earlier ones between the same processes.
    pub(crate) fn send(&mut self, envelope: Envelope) {
        let Envelope {
            from, to, epoch, ..
        } = &envelope;
        let silent =
            |a: &SmolStr, b: &SmolStr| self.silent_links.contains(&(a.clone(), b.clone(), *epoch));
        if self.is_partitioned(from, to) || silent(from, to) || silent(to, from) {
            return;
        }
        let jitter = Duration::from_micros(self.rng.random_range(0..MAX_JITTER_MICROS));
        let delay = self.added_delay(from, to);
        let route = (from.clone(), to.clone());
        let earliest = self.last_arrivals.get(&route).copied().unwrap_or_default();
        let arrival = (self.now + MIN_LATENCY + jitter + delay).max(earliest);
        self.last_arrivals.insert(route, arrival);
        self.schedule_at(arrival, Task::Message(envelope));
    }

    /// Returns whether one of two processes belongs to each of `sides`: a process, a zone or the
    /// platform.
    pub(crate) fn is_between(&self, a: &SmolStr, b: &SmolStr, sides: &(SmolStr, SmolStr)) -> bool {
        let belongs = |name: &SmolStr, side: &SmolStr| {
            name == side
                || self
                    .processes
                    .get(name)
                    .is_some_and(|process| process.zone == *side)
        };
        belongs(a, &sides.0) && belongs(b, &sides.1) || belongs(a, &sides.1) && belongs(b, &sides.0)
    }

    pub(crate) fn is_partitioned(&self, a: &SmolStr, b: &SmolStr) -> bool {
        self.partitions
            .iter()
            .any(|sides| self.is_between(a, b, sides))
    }

    fn added_delay(&self, a: &SmolStr, b: &SmolStr) -> Duration {
        let delays = self
            .delays
            .iter()
            .filter(|(sides, _)| self.is_between(a, b, sides));
        delays.map(|(_, delay)| *delay).sum()
    }

    pub(crate) fn record_event(
        &mut self,
        process: &id::Process,
        request: Option<&Request>,
        kind: Kind,
    ) {
        let sequence = self.trace.events.len() as u64;
        self.trace.events.push(Event {
            process: process.clone(),
            sequence,
            stamp: u64::try_from(self.now.as_micros()).unwrap_or(u64::MAX),
            request: request.cloned(),
            kind,
        });
    }

    pub(crate) fn dispatch(&mut self, task: Task) {
        if let Task::Submission(submission) = &task {
            // The connections to a paused entry stay open until it resumes.
            let entry = self.processes.get_mut(&submission.entry);
            if let Some(entry) = entry.filter(|entry| entry.state == State::Paused) {
                return entry.deferred.push(task);
            }
        }
        if let Some((name, incarnation)) = task.performer() {
            let Some(process) = self.processes.get_mut(name) else {
                return;
            };
            match process.state {
                _ if process.incarnation != incarnation => return,
                State::Dead => return,
                State::Paused => return process.deferred.push(task),
                State::Running => {}
            }
        }
        match task {
            Task::Step(step) => self.perform(step),
            Task::Submission(submission) => self.accept(submission),
            Task::Message(envelope) => match envelope.body.clone() {
                Body::ToAgent(message) => self.handle_agent_message(&envelope, message),
                Body::ToEntry(message) => self.handle_entry_message(&envelope, message),
            },
            Task::Tick(name, incarnation, count) => self.tick(&name, incarnation, count),
            Task::Records(name, _, offset, records) => self.apply_records(&name, offset, &records),
            Task::EntryTimer(name, _, timer) => self.handle_entry_timer(&name, timer),
            Task::AgentNotification(name, _, notification) => {
                self.handle_agent_notification(&name, notification)
            }
            Task::EngineTimer(endpoint, timer) => self.handle_engine_timer(&endpoint, timer),
        }
    }

    fn tick(&mut self, name: &id::Process, incarnation: id::Incarnation, count: u64) {
        if count.is_multiple_of(HEARTBEAT_TICKS) {
            self.read_platform(name);
        }
        if self.entries.contains_key(name) {
            self.entry_tick(name, count.is_multiple_of(HEARTBEAT_TICKS));
        } else {
            self.agent_tick(name);
        }
        self.schedule_after(
            TICK_INTERVAL,
            Task::Tick(name.clone(), incarnation, count + 1),
        );
    }
}
