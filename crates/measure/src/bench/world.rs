mod callers;
mod engines;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    sync::Arc,
    time::Duration,
};

use conf::{Document, Number, ZoneState, id};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;
use wire::Request;

use super::{
    engine::{COLD, Engine},
    plan::{Plan, Policies, ZONES},
    tally::{Outcome, Tally},
};

/// One way between two processes.
const WIRE: Duration = Duration::from_millis(1);
const BEAT: Duration = Duration::from_millis(500);
const TICK: Duration = Duration::from_millis(100);
const PROBE: Duration = Duration::from_millis(250);
/// Time in which a new version reaches every process.
const SPREAD: Duration = Duration::from_millis(1500);
/// Time that a service needs for an order or look-up, in tokens of a draft.
const ORDER_TOKENS: u32 = 2;
/// Talks that share a cached prefix.
const TALKS: u64 = 400;
/// Prefix that all drafts share.
const TEMPLATE: u64 = 1;
/// Times that a refused caller comes back.
const RETURNS: u32 = 2;

/// All processes of a run, and what is under way between them.
pub(crate) struct World {
    plan: Plan,
    begin: Instant,
    now: Instant,
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    events: BTreeMap<u64, Event>,
    next: u64,
    rng: ChaCha8Rng,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    requests: Vec<Ask>,
    outcomes: Vec<Outcome>,
    agent_refusals: Vec<Duration>,
    slowest_refusal: Duration,
    full_again: Option<Duration>,
    last_out: Option<Duration>,
}

struct Entry {
    policy: Box<dyn route::Policy>,
    version: Number,
}

struct Agent {
    name: id::Endpoint,
    zone: &'static str,
    policy: Box<dyn gate::Policy>,
    engine: Engine,
    /// Number of the engine's life at the last probe; `None` if it was down.
    seen: Option<u64>,
}

/// A caller's request.
struct Ask {
    service: &'static str,
    entry: usize,
    prefix: Vec<u64>,
    tokens: u32,
    deadline: Instant,
    /// Sends so far; the policies see each as a request of its own.
    sends: u32,
    sent: Instant,
    attempt: u32,
}

enum Event {
    Arrive,
    Return(usize),
    Offer {
        agent: usize,
        request: usize,
        attempt: u32,
        version: Number,
    },
    Tell {
        entry: usize,
        event: route::Event,
    },
    Step {
        agent: usize,
        boot: u64,
    },
    Beat {
        entry: usize,
        agent: usize,
    },
    Tick,
    Probe(usize),
    Publish {
        number: Number,
        out: bool,
    },
    Adopt {
        process: usize,
        number: Number,
        document: Arc<Document>,
    },
    Stop,
    Start,
}

impl World {
    /// Runs a plan to its end.
    pub(crate) fn run(plan: Plan) -> Tally {
        let mut world = Self::new(plan);
        let end = world.begin + world.plan.length;
        while let Some(Reverse((at, number))) = world.queue.pop() {
            if at > end {
                break;
            }
            world.now = at;
            if let Some(event) = world.events.remove(&number) {
                world.handle(event);
            }
        }
        world.tally()
    }

    fn new(plan: Plan) -> Self {
        let now = Instant::now();
        let document = plan.document();
        let mut world = Self {
            begin: now,
            now,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next: 0,
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            entries: Vec::new(),
            agents: Vec::new(),
            requests: Vec::new(),
            outcomes: Vec::new(),
            agent_refusals: Vec::new(),
            slowest_refusal: Duration::ZERO,
            full_again: None,
            last_out: None,
            plan,
        };
        world.add_agents(&document);
        world.add_entries();
        world.publish(1, document, Duration::ZERO);
        world.schedule();
        world
    }

    fn add_agents(&mut self, document: &Document) {
        for (index, (name, endpoint)) in document.endpoints.iter().enumerate() {
            let incarnation = index as u64 + 1;
            let policy: Box<dyn gate::Policy> = match self.plan.policies {
                Policies::Own => {
                    Box::new(gate::Controller::new(name.clone(), incarnation, self.now))
                }
                _ => Box::new(gate::Passthrough::new(incarnation, endpoint.limit.full)),
            };
            let zone = ZONES.iter().find(|(zone, _)| *zone == endpoint.zone);
            self.agents.push(Agent {
                name: name.clone(),
                zone: zone.map_or("", |(zone, _)| zone),
                policy,
                engine: Engine::new(endpoint.limit, self.now - COLD),
                seen: None,
            });
        }
    }

    fn add_entries(&mut self) {
        for (name, count) in &ZONES {
            for _ in 0..*count {
                let seed = self.plan.seed * 100 + self.entries.len() as u64;
                let policy: Box<dyn route::Policy> = match self.plan.policies {
                    Policies::Own => Box::new(route::Router::new((*name).into(), seed, self.now)),
                    Policies::Rotation => {
                        Box::new(route::Balancer::new(route::Strategy::RoundRobin))
                    }
                    Policies::LeastLoaded => {
                        Box::new(route::Balancer::new(route::Strategy::LeastLoaded))
                    }
                };
                let version = 1;
                self.entries.push(Entry { policy, version });
            }
        }
    }

    /// Plans all that comes of itself.
    fn schedule(&mut self) {
        for agent in 0..self.agents.len() {
            for entry in 0..self.entries.len() {
                let endpoint = self.agents[agent].name.clone();
                let event = route::Event::Connected { endpoint };
                self.push(Duration::ZERO, Event::Tell { entry, event });
                let phase = BEAT.mul_f64(self.rng.random());
                self.push(phase, Event::Beat { entry, agent });
            }
            let phase = PROBE.mul_f64(self.rng.random());
            self.push(phase, Event::Probe(agent));
        }
        self.push(TICK, Event::Tick);
        self.push(Duration::from_secs(1), Event::Arrive);
        if let Some(outage) = self.plan.outage {
            self.push(
                outage.out,
                Event::Publish {
                    number: 2,
                    out: true,
                },
            );
            self.push(outage.down, Event::Stop);
            self.push(outage.up, Event::Start);
            self.push(
                outage.back,
                Event::Publish {
                    number: 3,
                    out: false,
                },
            );
        }
    }

    fn push(&mut self, after: Duration, event: Event) {
        self.next += 1;
        self.events.insert(self.next, event);
        self.queue.push(Reverse((self.now + after, self.next)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Return(request) => self.send(request),
            Event::Offer {
                agent,
                request,
                attempt,
                version,
            } => {
                self.offer(agent, request, attempt, version);
            }
            Event::Tell { entry, event } => self.tell(entry, event),
            Event::Step { agent, boot } => self.step(agent, boot),
            Event::Beat { entry, agent } => {
                self.hint(entry, agent);
                self.push(BEAT, Event::Beat { entry, agent });
            }
            Event::Tick => self.tick(),
            Event::Probe(agent) => self.probe(agent),
            Event::Publish { number, out } => {
                let mut document = self.plan.document();
                if let (true, Some(zone)) = (out, document.zones.get_mut("c")) {
                    zone.state = ZoneState::Out;
                }
                self.publish(number, document, SPREAD);
            }
            Event::Adopt {
                process,
                number,
                document,
            } => self.adopt(process, number, document),
            Event::Stop => self.stop(),
            Event::Start => self.start(),
        }
    }

    fn publish(&mut self, number: Number, document: Document, spread: Duration) {
        let document = Arc::new(document);
        for process in 0..self.entries.len() + self.agents.len() {
            let after = spread.mul_f64(self.rng.random());
            let document = document.clone();
            self.push(
                after,
                Event::Adopt {
                    process,
                    number,
                    document,
                },
            );
        }
    }

    fn adopt(&mut self, process: usize, number: Number, document: Arc<Document>) {
        if let Some(agent) = process.checked_sub(self.entries.len()) {
            self.tell_agent(agent, gate::Event::Document { number, document });
        } else {
            self.entries[process].version = number;
            self.tell(process, route::Event::Document(document));
        }
    }

    fn tick(&mut self) {
        for entry in 0..self.entries.len() {
            self.tell(entry, route::Event::Tick);
        }
        for agent in 0..self.agents.len() {
            self.tell_agent(agent, gate::Event::Tick);
        }
        self.push(TICK, Event::Tick);
        let Some(outage) = self.plan.outage else {
            return;
        };
        let since = self.now - self.begin;
        let zone = self.agents.iter().filter(|a| a.zone == "c");
        let mut drafts = zone.filter(|a| a.engine.limit == super::plan::DRAFTS);
        let full = drafts.all(|a| a.policy.hint().limit == a.engine.limit.full);
        if since > outage.back && full && self.full_again.is_none() {
            self.full_again = Some(since - outage.back);
        }
    }
}

/// Returns the name of one send of a request.
fn name(request: usize, send: u32) -> Request {
    smol_str::format_smolstr!("{request}.{send}")
}
