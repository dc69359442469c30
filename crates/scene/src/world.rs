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
    Act, Parts, Script,
    agent::{self, Agent},
    check,
    entry::{self, Entry},
    machine::{Machine, Work},
};

/// Least time that a message takes.
pub(crate) const LATENCY: Duration = Duration::from_millis(1);
/// Most that a message takes beyond that, in microseconds.
const JITTER: u64 = 500;
/// Time between two ticks of a process.
const TICK: Duration = Duration::from_millis(100);
/// Ticks between two heartbeats or two reads of the platform.
const BEAT: u64 = 5;
/// Start of every scenario, in nanoseconds since 1970.
pub(crate) const EPOCH: u64 = 1_800_000_000_000_000_000;

/// Number of one link between two processes, larger for each later one.
pub(crate) type Epoch = u64;
/// One attempt at one request.
pub(crate) type Target = (Request, Attempt);

/// Result of a scenario.
#[derive(Clone, Debug)]
pub struct Played {
    /// Events of all processes in order.
    pub events: Vec<Event>,
    /// What did not hold, one sentence each.
    pub failures: Vec<String>,
}

impl Played {
    /// Returns the time line as text, one event a line.
    #[must_use]
    pub fn text(&self) -> String {
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

/// Whether a process runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum State {
    Running,
    Stopped,
    Dead,
}

/// What every process has.
pub(crate) struct Process {
    pub(crate) zone: id::Zone,
    pub(crate) life: id::Incarnation,
    pub(crate) state: State,
    pub(crate) fold: Fold,
    /// Published records that it has folded, oldest first.
    pub(crate) records: Vec<SmolStr>,
    /// What waits for a stopped process to wake up.
    pub(crate) frozen: Vec<Due>,
}

/// Message on its way.
#[derive(Clone, Debug)]
pub(crate) struct Envelope {
    pub(crate) from: id::Process,
    pub(crate) from_life: id::Incarnation,
    pub(crate) to: id::Process,
    pub(crate) to_life: id::Incarnation,
    pub(crate) epoch: Epoch,
    pub(crate) body: Body,
}

/// What a message carries.
#[derive(Clone, Debug)]
pub(crate) enum Body {
    ToAgent(agent::Message),
    ToEntry(entry::Message),
}

/// Something that is due at a time.
#[derive(Clone, Debug)]
pub(crate) enum Due {
    Act(Act),
    Sent(Sent),
    Message(Envelope),
    Tick(id::Process, id::Incarnation, u64),
    /// The platform's answer to a read after a place in the log.
    Page(id::Process, id::Incarnation, usize, Vec<SmolStr>),
    Entry(id::Process, id::Incarnation, entry::Timer),
    Agent(id::Process, id::Incarnation, agent::Timer),
    Machine(id::Endpoint, Work),
}

impl Due {
    /// Returns the process, and its life, to which this matters.
    fn owner(&self) -> Option<(&id::Process, id::Incarnation)> {
        match self {
            Due::Message(envelope) => Some((&envelope.to, envelope.to_life)),
            Due::Tick(name, life, _)
            | Due::Page(name, life, ..)
            | Due::Entry(name, life, _)
            | Due::Agent(name, life, _) => Some((name, *life)),
            Due::Act(_) | Due::Sent(_) | Due::Machine(..) => None,
        }
    }
}

/// Request of a caller.
#[derive(Clone, Debug)]
pub(crate) struct Sent {
    pub(crate) request: Request,
    pub(crate) entry: id::Process,
    pub(crate) service: id::Service,
    pub(crate) team: id::Team,
    /// Name of what must run once at most.
    pub(crate) key: Option<SmolStr>,
    /// Whether the caller sent no key, so that the entry makes one for each offer.
    pub(crate) fresh: bool,
    pub(crate) poison: bool,
    pub(crate) at: Duration,
    pub(crate) end: Option<(Duration, End)>,
}

impl Sent {
    /// Returns what the engine must answer; it names what was asked for.
    pub(crate) fn answer(&self) -> String {
        let what = self.key.as_ref().unwrap_or(&self.request);
        format!("answer to {what} of {}", self.team)
    }
}

/// How a request ended, as its caller saw it.
#[derive(Clone, Debug)]
pub(crate) enum End {
    Answered { body: String },
    Refused(Fault),
    Cut,
}

/// One start of a request at an engine.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) request: Request,
    pub(crate) endpoint: id::Endpoint,
    pub(crate) at: Duration,
    /// Requests in flight at the engine with this one.
    pub(crate) load: u64,
}

/// What happened, for the checks.
#[derive(Default)]
pub(crate) struct Facts {
    pub(crate) sent: BTreeMap<Request, Sent>,
    pub(crate) runs: Vec<Run>,
    pub(crate) overloads: Vec<(Duration, id::Endpoint)>,
    pub(crate) crashes: u64,
    pub(crate) versions: Vec<(Duration, id::Process, id::Incarnation, Number)>,
    pub(crate) events: Vec<Event>,
}

pub(crate) enum Platform {
    Down,
    Stale(usize),
    Up,
}

/// State of a scenario as it is played.
pub(crate) struct World {
    pub(crate) script: Script,
    pub(crate) parts: Parts,
    pub(crate) processes: BTreeMap<id::Process, Process>,
    pub(crate) entries: BTreeMap<id::Process, Entry>,
    pub(crate) agents: BTreeMap<id::Process, Agent>,
    pub(crate) machines: BTreeMap<id::Endpoint, Machine>,
    pub(crate) facts: Facts,
    pub(crate) now: Duration,
    /// Keys that entries issued, by name.
    pub(crate) issued: BTreeMap<SmolStr, IssuedKey>,
    base: Instant,
    pub(crate) random: ChaCha8Rng,
    queue: BTreeMap<(Duration, u64), Due>,
    order: u64,
    pub(crate) document: Document,
    pub(crate) log: Vec<SmolStr>,
    pub(crate) platform: Platform,
    pub(crate) cuts: BTreeSet<(SmolStr, SmolStr)>,
    pub(crate) delays: BTreeMap<(SmolStr, SmolStr), Duration>,
    pub(crate) silent: BTreeSet<(id::Process, id::Process, Epoch)>,
    arrivals: HashMap<(id::Process, id::Process), Duration>,
}

/// Plays a scenario to its end.
#[must_use]
pub fn run(script: &Script, parts: Parts) -> Played {
    let mut world = World::new(script, parts);
    while let Some(((at, _), due)) = world.queue.pop_first() {
        if at > script.end {
            break;
        }
        world.now = at;
        world.dispatch(due);
    }
    world.now = script.end;
    let failures = check::check(&world);
    Played {
        events: world.facts.events,
        failures,
    }
}

/// # Construction
impl World {
    fn new(script: &Script, parts: Parts) -> Self {
        let mut world = Self {
            script: script.clone(),
            parts,
            processes: BTreeMap::new(),
            entries: BTreeMap::new(),
            agents: BTreeMap::new(),
            machines: BTreeMap::new(),
            facts: Facts::default(),
            now: Duration::ZERO,
            issued: BTreeMap::new(),
            base: Instant::now(),
            random: ChaCha8Rng::seed_from_u64(script.seed),
            queue: BTreeMap::new(),
            order: 0,
            document: script.document.clone(),
            log: Vec::new(),
            platform: Platform::Up,
            cuts: BTreeSet::new(),
            delays: BTreeMap::new(),
            silent: BTreeSet::new(),
            arrivals: HashMap::new(),
        };
        world.publish();
        let engines = script.engines.clone();
        for (endpoint, engine) in &engines {
            let machine = Machine::new(engine.takes);
            world.machines.insert(endpoint.clone(), machine);
            world.start(endpoint);
        }
        for entry in script.entries.keys() {
            world.start(entry);
        }
        for (at, act) in &script.acts {
            world.at(*at, Due::Act(act.clone()));
        }
        world
    }

    pub(crate) fn start(&mut self, name: &id::Process) {
        let zone = match self.script.entries.get(name) {
            Some(zone) => zone.clone(),
            None => self.script.document.endpoints[name].zone.clone(),
        };
        let life = EPOCH + u64::try_from(self.now.as_nanos()).unwrap_or(u64::MAX);
        let process = Process {
            zone: zone.clone(),
            life,
            state: State::Running,
            fold: Fold::default(),
            records: Vec::new(),
            frozen: Vec::new(),
        };
        self.processes.insert(name.clone(), process);
        let now = self.instant();
        if self.script.entries.contains_key(name) {
            let policy = (self.parts.route)(&zone, life, now);
            self.entries.insert(name.clone(), Entry::new(policy));
        } else {
            let gate = (self.parts.gate)(name, life, now);
            let ledger = (self.parts.ledger)(name, life, now);
            self.agents.insert(name.clone(), Agent::new(gate, ledger));
        }
        let first = Duration::from_micros(self.random.random_range(0..JITTER));
        self.after(first, Due::Tick(name.clone(), life, 0));
    }
}

/// # Time and messages
impl World {
    /// Returns the time that the decisions see.
    pub(crate) fn instant(&self) -> Instant {
        self.base + self.now
    }

    pub(crate) fn at(&mut self, at: Duration, due: Due) {
        self.order += 1;
        self.queue.insert((at, self.order), due);
    }

    pub(crate) fn after(&mut self, time: Duration, due: Due) {
        self.at(self.now + time, due);
    }

    /// Sends a message; it arrives after those that were sent before it on the same way, or never.
    pub(crate) fn send(&mut self, envelope: Envelope) {
        let Envelope {
            from, to, epoch, ..
        } = &envelope;
        let silent =
            |a: &SmolStr, b: &SmolStr| self.silent.contains(&(a.clone(), b.clone(), *epoch));
        if self.is_cut(from, to) || silent(from, to) || silent(to, from) {
            return;
        }
        let jitter = Duration::from_micros(self.random.random_range(0..JITTER));
        let delay = self.delay(from, to);
        let way = (from.clone(), to.clone());
        let earliest = self.arrivals.get(&way).copied().unwrap_or_default();
        let at = (self.now + LATENCY + jitter + delay).max(earliest);
        self.arrivals.insert(way, at);
        self.at(at, Due::Message(envelope));
    }

    /// Returns whether two processes stand on the two sides of a pair.
    pub(crate) fn apart(&self, a: &SmolStr, b: &SmolStr, pair: &(SmolStr, SmolStr)) -> bool {
        let on = |name: &SmolStr, side: &SmolStr| {
            name == side || self.processes.get(name).is_some_and(|p| p.zone == *side)
        };
        on(a, &pair.0) && on(b, &pair.1) || on(a, &pair.1) && on(b, &pair.0)
    }

    pub(crate) fn is_cut(&self, a: &SmolStr, b: &SmolStr) -> bool {
        self.cuts.iter().any(|pair| self.apart(a, b, pair))
    }

    fn delay(&self, a: &SmolStr, b: &SmolStr) -> Duration {
        let on_way = self
            .delays
            .iter()
            .filter(|(pair, _)| self.apart(a, b, pair));
        on_way.map(|(_, time)| *time).sum()
    }

    /// Records an event.
    pub(crate) fn note(&mut self, process: &id::Process, request: Option<&Request>, kind: Kind) {
        let sequence = self.facts.events.len() as u64;
        self.facts.events.push(Event {
            process: process.clone(),
            sequence,
            stamp: u64::try_from(self.now.as_micros()).unwrap_or(u64::MAX),
            request: request.cloned(),
            kind,
        });
    }

    pub(crate) fn dispatch(&mut self, due: Due) {
        if let Due::Sent(sent) = &due {
            // A paused process leaves its callers' connections waiting.
            let entry = self.processes.get_mut(&sent.entry);
            if let Some(entry) = entry.filter(|entry| entry.state == State::Stopped) {
                return entry.frozen.push(due);
            }
        }
        if let Some((name, life)) = due.owner() {
            let Some(process) = self.processes.get_mut(name) else {
                return;
            };
            match process.state {
                _ if process.life != life => return,
                State::Dead => return,
                State::Stopped => return process.frozen.push(due),
                State::Running => {}
            }
        }
        match due {
            Due::Act(act) => self.act(act),
            Due::Sent(sent) => self.arrive(sent),
            Due::Message(envelope) => match envelope.body.clone() {
                Body::ToAgent(message) => self.agent_message(&envelope, message),
                Body::ToEntry(message) => self.entry_message(&envelope, message),
            },
            Due::Tick(name, life, count) => self.tick(&name, life, count),
            Due::Page(name, _, after, records) => self.adopt(&name, after, &records),
            Due::Entry(name, _, timer) => self.entry_timer(&name, timer),
            Due::Agent(name, _, timer) => self.agent_timer(&name, timer),
            Due::Machine(endpoint, work) => self.machine_work(&endpoint, work),
        }
    }

    fn tick(&mut self, name: &id::Process, life: id::Incarnation, count: u64) {
        if count.is_multiple_of(BEAT) {
            self.read_platform(name);
        }
        if self.entries.contains_key(name) {
            self.entry_tick(name, count.is_multiple_of(BEAT));
        } else {
            self.agent_tick(name);
        }
        self.after(TICK, Due::Tick(name.clone(), life, count + 1));
    }
}
