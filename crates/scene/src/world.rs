use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use conf::{Document, Fold, Number, ZoneState, id};
use event::{Event, Kind};
use fault::Fault;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use smol_str::{SmolStr, ToSmolStr as _, format_smolstr};
use tokio::time::Instant;
use wire::{Attempt, Request};

use crate::{
    Act, Parts, Script, Send,
    agent::{self, Agent, Machine},
    check,
    entry::{self, Entry},
};

/// Least time that a message takes.
const LATENCY: Duration = Duration::from_millis(1);
/// Most that a message takes beyond that, in microseconds.
const JITTER: u64 = 500;
/// Time between two ticks of a process.
const TICK: Duration = Duration::from_millis(100);
/// Ticks between two heartbeats or two reads of the platform.
const BEAT: u64 = 5;

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
    /// Accepted records, oldest first.
    pub(crate) records: Vec<(Number, SmolStr)>,
    /// What waits for a stopped process to wake up.
    frozen: Vec<Due>,
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
    /// The platform's answer to a read.
    Page(id::Process, id::Incarnation, Vec<SmolStr>),
    Entry(id::Process, id::Incarnation, entry::Timer),
    Agent(id::Process, id::Incarnation, agent::Timer),
    Machine(id::Endpoint, agent::Work),
}

impl Due {
    /// Returns the process, and its life, to which this matters.
    fn owner(&self) -> Option<(&id::Process, id::Incarnation)> {
        match self {
            Due::Message(envelope) => Some((&envelope.to, envelope.to_life)),
            Due::Tick(name, life, _)
            | Due::Page(name, life, _)
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
    pub(crate) key: Option<SmolStr>,
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

enum Platform {
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
    base: Instant,
    random: ChaCha8Rng,
    queue: BTreeMap<(Duration, u64), Due>,
    order: u64,
    document: Document,
    log: Vec<SmolStr>,
    platform: Platform,
    cuts: BTreeSet<(SmolStr, SmolStr)>,
    delays: BTreeMap<(SmolStr, SmolStr), Duration>,
    silent: BTreeSet<(id::Process, id::Process, Epoch)>,
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

    fn start(&mut self, name: &id::Process) {
        let zone = match self.script.entries.get(name) {
            Some(zone) => zone.clone(),
            None => self.script.document.endpoints[name].zone.clone(),
        };
        let life = self.processes.get(name).map_or(1, |old| old.life + 1);
        let process = Process {
            zone: zone.clone(),
            life,
            state: State::Running,
            fold: Fold::default(),
            records: Vec::new(),
            frozen: Vec::new(),
        };
        self.processes.insert(name.clone(), process);
        let seed = self.random.random();
        if self.script.entries.contains_key(name) {
            let policy = (self.parts.route)(&zone, seed, self.instant());
            self.entries.insert(name.clone(), Entry::new(policy));
        } else {
            let gate = (self.parts.gate)(name, life, self.instant());
            let ledger = (self.parts.ledger)(name, life, self.instant());
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

    fn at(&mut self, at: Duration, due: Due) {
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
    fn apart(&self, a: &SmolStr, b: &SmolStr, pair: &(SmolStr, SmolStr)) -> bool {
        let on = |name: &SmolStr, side: &SmolStr| {
            name == side || self.processes.get(name).is_some_and(|p| p.zone == *side)
        };
        on(a, &pair.0) && on(b, &pair.1) || on(a, &pair.1) && on(b, &pair.0)
    }

    fn is_cut(&self, a: &SmolStr, b: &SmolStr) -> bool {
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

    fn dispatch(&mut self, due: Due) {
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
            Due::Page(name, _, records) => self.adopt(&name, &records),
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

/// # Configuration
impl World {
    fn publish(&mut self) {
        let number = self.log.len() as u64 + 1;
        let document = serde_json::to_value(&self.document).unwrap_or_default();
        let record = serde_json::json!({ "number": number, "document": document });
        self.log.push(record.to_smolstr());
    }

    fn read_platform(&mut self, name: &id::Process) {
        let shown = match self.platform {
            Platform::Down => return,
            Platform::Stale(length) => length,
            Platform::Up => self.log.len(),
        };
        if self.is_cut(name, &SmolStr::new_static("platform")) {
            return;
        }
        let own = self.processes[name].fold.version().number;
        let known = usize::try_from(own).unwrap_or(usize::MAX);
        if known < shown {
            let page = self.log[known..shown].to_vec();
            let life = self.processes[name].life;
            self.after(2 * LATENCY, Due::Page(name.clone(), life, page));
        }
    }

    /// Lets a process take in published records, from the platform or a peer.
    pub(crate) fn adopt(&mut self, name: &id::Process, records: &[SmolStr]) {
        for record in records {
            let Some(process) = self.processes.get_mut(name) else {
                return;
            };
            if process.fold.apply(record).is_err() {
                continue;
            }
            let (number, life) = (process.fold.version().number, process.life);
            process.records.push((number, record.clone()));
            let document = process.fold.document().cloned();
            self.facts
                .versions
                .push((self.now, name.clone(), life, number));
            self.note(name, None, Kind::Version { number });
            if let Some(document) = document {
                self.enforce(name, number, document);
            }
        }
    }

    fn enforce(&mut self, name: &id::Process, number: Number, document: Arc<Document>) {
        if self.entries.contains_key(name) {
            self.tell_entry(name, route::Event::Document(document));
        } else {
            let now = self.instant();
            self.agent(name).ledger.adopt(&document, now);
            self.tell_agent(name, gate::Event::Document { number, document });
        }
    }
}

/// # Acts
impl World {
    fn act(&mut self, act: Act) {
        match act {
            Act::Send(send) => self.callers(&send),
            Act::Kill(name) => self.kill(&name),
            Act::Start(name) => self.start(&name),
            Act::Stop(name) => self.set_state(&name, State::Stopped),
            Act::Continue(name) => self.wake(&name),
            Act::Terminate(name) => self.terminate(&name),
            Act::Cut(a, b) => {
                self.cuts.insert((a, b));
            }
            Act::Heal(a, b) => {
                let pair = (a, b);
                self.cuts.remove(&pair);
                self.delays.remove(&pair);
            }
            Act::Late(a, b, time) => {
                self.delays.insert((a, b), time);
            }
            Act::Silence(a, b) => self.silence(&a, &b),
            Act::Zone(zone, out) => {
                let state = if out { ZoneState::Out } else { ZoneState::In };
                if let Some(zone) = self.document.zones.get_mut(&zone) {
                    zone.state = state;
                }
                self.publish();
            }
            Act::Leave(name) => {
                if let Some(endpoint) = self.document.endpoints.get_mut(&name) {
                    endpoint.leaving = true;
                }
                self.publish();
            }
            Act::Publish => self.publish(),
            Act::PlatformDown => self.platform = Platform::Down,
            Act::PlatformStale => self.platform = Platform::Stale(self.log.len()),
            Act::PlatformUp => self.platform = Platform::Up,
            Act::EngineDown(..)
            | Act::EngineUp(..)
            | Act::EngineRestart(..)
            | Act::EngineStall(..)
            | Act::EngineTakes(..)
            | Act::EngineCross(..) => self.machine_act(&act),
        }
    }

    fn callers(&mut self, send: &Send) {
        for i in 0..send.count {
            let number = self.facts.sent.len() + 1;
            let request = format_smolstr!("r{number}");
            let once = self.document.services[&send.service]
                .routes
                .iter()
                .any(|route| !route.repeatable);
            let own = once.then(|| format_smolstr!("key-{number}"));
            let sent = Sent {
                request: request.clone(),
                entry: send.entries[i as usize % send.entries.len()].clone(),
                service: send.service.clone(),
                team: send.team.clone(),
                key: send.key.clone().filter(|_| once).or(own),
                poison: send.poison,
                at: self.now + send.every * i,
                end: None,
            };
            self.facts.sent.insert(request, sent.clone());
            self.at(sent.at, Due::Sent(sent));
        }
    }

    fn set_state(&mut self, name: &id::Process, state: State) {
        if let Some(process) = self.processes.get_mut(name) {
            process.state = state;
        }
    }

    fn kill(&mut self, name: &id::Process) {
        self.set_state(name, State::Dead);
        self.entry_killed(name);
    }

    fn wake(&mut self, name: &id::Process) {
        self.set_state(name, State::Running);
        let Some(process) = self.processes.get_mut(name) else {
            return;
        };
        for due in std::mem::take(&mut process.frozen) {
            self.dispatch(due);
        }
    }

    fn silence(&mut self, a: &SmolStr, b: &SmolStr) {
        let pair = (a.clone(), b.clone());
        let mut silent = Vec::new();
        for (name, entry) in &self.entries {
            for (endpoint, link) in &entry.links {
                if self.apart(name, endpoint, &pair) {
                    silent.push((name.clone(), endpoint.clone(), link.epoch));
                }
            }
        }
        self.silent.extend(silent);
    }

    fn terminate(&mut self, name: &id::Process) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.leaving = true;
        } else {
            self.tell_agent(name, gate::Event::Leave);
        }
    }
}
