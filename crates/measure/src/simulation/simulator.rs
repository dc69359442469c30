mod clients;
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
    engine::{Engine, WARM_UP},
    plan::{ENTRIES_PER_ZONE, Plan, Policies},
    summary::{Outcome, Summary},
};

/// One-way delay of a message between an entry and an agent.
const MESSAGE_DELAY: Duration = Duration::from_millis(1);
/// Interval of the load hints that an agent sends to each entry.
const HINT_INTERVAL: Duration = Duration::from_millis(500);
/// Interval of the tick events of all policies.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which an agent reads the state of its engine.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Longest time from the publication of a document until a process applies it.
const MAX_PUBLISH_DELAY: Duration = Duration::from_millis(1500);
/// Length of an order's answer, in tokens.
const ORDER_TOKENS: u32 = 2;
/// Number of conversations; the requests of one share a prefix.
const CONVERSATIONS: u64 = 400;
/// Prefix that all requests share.
const SHARED_PREFIX: u64 = 1;
/// Times that a client submits a rejected request again.
const MAX_RESUBMISSIONS: u32 = 2;

/// State of a run: all processes and the scheduled events.
pub(crate) struct Simulator {
    plan: Plan,
    started_at: Instant,
    now: Instant,
    /// Times and numbers of the scheduled events; events of the same time run in order of number.
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    /// Scheduled events by number.
    events: BTreeMap<u64, Event>,
    last_event: u64,
    rng: ChaCha8Rng,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    requests: Vec<Call>,
    /// Outcomes of `requests`, at the same indices.
    outcomes: Vec<Outcome>,
    agent_refusals: Vec<Duration>,
    slowest_rejection: Duration,
    full_limits_after: Option<Duration>,
    last_admission_in_zone_out: Option<Duration>,
}

struct Entry {
    policy: Box<dyn route::Policy>,
    /// Number of the document in force.
    version: Number,
}

struct Agent {
    name: id::Endpoint,
    zone: &'static str,
    policy: Box<dyn gate::Policy>,
    engine: Engine,
    /// Generation of the engine at the last probe; `None` if it was down.
    probed_generation: Option<u64>,
}

/// Request of a client over all of its submissions.
struct Call {
    service: &'static str,
    entry: usize,
    prefixes: Vec<u64>,
    tokens: u32,
    deadline: Instant,
    /// Submissions so far; the policies see each as a request of its own.
    submissions: u32,
    submitted_at: Instant,
    /// Last attempt of the current submission; 0 before the first.
    attempt: u32,
}

enum Event {
    /// Arrival of a new request, which schedules the next one.
    Arrival,
    /// Submission of a rejected request, by its index.
    Resubmit(usize),
    Offer {
        agent: usize,
        request: usize,
        attempt: u32,
        version: Number,
    },
    /// Delivery of an event to an entry's policy.
    Deliver {
        entry: usize,
        event: route::Event,
    },
    Step {
        agent: usize,
        generation: u64,
    },
    SendHint {
        entry: usize,
        agent: usize,
    },
    Tick,
    Probe(usize),
    Publish {
        number: Number,
        zone_out: bool,
    },
    ApplyDocument {
        /// Index of the entry, or of the agent plus the number of entries.
        process: usize,
        number: Number,
        document: Arc<Document>,
    },
    StopZone,
    StartZone,
}

impl Simulator {
    /// Runs a plan to its end.
    pub(crate) fn run(plan: Plan) -> Summary {
        let mut simulator = Self::new(plan);
        let end = simulator.started_at + simulator.plan.duration;
        while let Some(Reverse((at, number))) = simulator.queue.pop() {
            if at > end {
                break;
            }
            simulator.now = at;
            if let Some(event) = simulator.events.remove(&number) {
                simulator.handle_event(event);
            }
        }
        simulator.summary()
    }

    fn new(plan: Plan) -> Self {
        let now = Instant::now();
        let document = plan.document();
        let mut simulator = Self {
            started_at: now,
            now,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            last_event: 0,
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            entries: Vec::new(),
            agents: Vec::new(),
            requests: Vec::new(),
            outcomes: Vec::new(),
            agent_refusals: Vec::new(),
            slowest_rejection: Duration::ZERO,
            full_limits_after: None,
            last_admission_in_zone_out: None,
            plan,
        };
        simulator.add_agents(&document);
        simulator.add_entries();
        simulator.publish(1, document, Duration::ZERO);
        simulator.schedule_initial_events();
        simulator
    }

    fn add_agents(&mut self, document: &Document) {
        for (index, (name, endpoint)) in document.endpoints.iter().enumerate() {
            let incarnation = index as u64 + 1;
            let policy: Box<dyn gate::Policy> = match self.plan.policies {
                Policies::Production => {
                    Box::new(gate::Controller::new(name.clone(), incarnation, self.now))
                }
                _ => Box::new(gate::Passthrough::new(incarnation, endpoint.limit.full)),
            };
            let zone = ENTRIES_PER_ZONE
                .iter()
                .find(|(zone, _)| *zone == endpoint.zone);
            self.agents.push(Agent {
                name: name.clone(),
                zone: zone.map_or("", |(zone, _)| zone),
                policy,
                engine: Engine::new(endpoint.limit, self.now - WARM_UP),
                probed_generation: None,
            });
        }
    }

    fn add_entries(&mut self) {
        for (name, count) in &ENTRIES_PER_ZONE {
            for _ in 0..*count {
                let seed = self.plan.seed * 100 + self.entries.len() as u64;
                let policy: Box<dyn route::Policy> = match self.plan.policies {
                    Policies::Production => {
                        Box::new(route::Router::new((*name).into(), seed, self.now))
                    }
                    Policies::RoundRobin => {
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

    /// Schedules the events that no other event causes and the first ones of each series.
    fn schedule_initial_events(&mut self) {
        for agent in 0..self.agents.len() {
            for entry in 0..self.entries.len() {
                let endpoint = self.agents[agent].name.clone();
                let event = route::Event::Connected { endpoint };
                self.schedule(Duration::ZERO, Event::Deliver { entry, event });
                let phase = HINT_INTERVAL.mul_f64(self.rng.random());
                self.schedule(phase, Event::SendHint { entry, agent });
            }
            let phase = PROBE_INTERVAL.mul_f64(self.rng.random());
            self.schedule(phase, Event::Probe(agent));
        }
        self.schedule(TICK_INTERVAL, Event::Tick);
        self.schedule(Duration::from_secs(1), Event::Arrival);
        if let Some(outage) = self.plan.outage {
            self.schedule(
                outage.zone_out,
                Event::Publish {
                    number: 2,
                    zone_out: true,
                },
            );
            self.schedule(outage.engines_stop, Event::StopZone);
            self.schedule(outage.engines_start, Event::StartZone);
            self.schedule(
                outage.zone_in,
                Event::Publish {
                    number: 3,
                    zone_out: false,
                },
            );
        }
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.last_event += 1;
        self.events.insert(self.last_event, event);
        self.queue
            .push(Reverse((self.now + delay, self.last_event)));
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Arrival => self.add_request(),
            Event::Resubmit(request) => self.submit(request),
            Event::Offer {
                agent,
                request,
                attempt,
                version,
            } => {
                self.deliver_offer(agent, request, attempt, version);
            }
            Event::Deliver { entry, event } => self.handle_entry_event(entry, event),
            Event::Step { agent, generation } => self.step(agent, generation),
            Event::SendHint { entry, agent } => {
                self.send_hint(entry, agent);
                self.schedule(HINT_INTERVAL, Event::SendHint { entry, agent });
            }
            Event::Tick => self.tick(),
            Event::Probe(agent) => self.probe(agent),
            Event::Publish { number, zone_out } => {
                let mut document = self.plan.document();
                if let (true, Some(zone)) = (zone_out, document.zones.get_mut("c")) {
                    zone.state = ZoneState::Out;
                }
                self.publish(number, document, MAX_PUBLISH_DELAY);
            }
            Event::ApplyDocument {
                process,
                number,
                document,
            } => self.apply_document(process, number, document),
            Event::StopZone => self.stop_zone(),
            Event::StartZone => self.start_zone(),
        }
    }

    fn publish(&mut self, number: Number, document: Document, max_delay: Duration) {
        let document = Arc::new(document);
        for process in 0..self.entries.len() + self.agents.len() {
            let delay = max_delay.mul_f64(self.rng.random());
            let document = document.clone();
            self.schedule(
                delay,
                Event::ApplyDocument {
                    process,
                    number,
                    document,
                },
            );
        }
    }

    fn apply_document(&mut self, process: usize, number: Number, document: Arc<Document>) {
        if let Some(agent) = process.checked_sub(self.entries.len()) {
            self.handle_agent_event(agent, gate::Event::Document { number, document });
        } else {
            self.entries[process].version = number;
            self.handle_entry_event(process, route::Event::Document(document));
        }
    }

    fn tick(&mut self) {
        for entry in 0..self.entries.len() {
            self.handle_entry_event(entry, route::Event::Tick);
        }
        for agent in 0..self.agents.len() {
            self.handle_agent_event(agent, gate::Event::Tick);
        }
        self.schedule(TICK_INTERVAL, Event::Tick);
        let Some(outage) = self.plan.outage else {
            return;
        };
        let elapsed = self.now - self.started_at;
        let zone = self.agents.iter().filter(|a| a.zone == "c");
        let mut drafts = zone.filter(|a| a.engine.limit == super::plan::DRAFT_LIMIT);
        let at_full_limit = drafts.all(|a| a.policy.hint().limit == a.engine.limit.full);
        if elapsed > outage.zone_in && at_full_limit && self.full_limits_after.is_none() {
            self.full_limits_after = Some(elapsed - outage.zone_in);
        }
    }
}

/// Returns the name under which the policies know one submission of a request.
fn request_name(request: usize, submission: u32) -> Request {
    smol_str::format_smolstr!("{request}.{submission}")
}
