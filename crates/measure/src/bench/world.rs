use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    sync::Arc,
    time::Duration,
};

use conf::{Document, Number, ZoneState, id};
use fault::{ErrorKind, Fault};
use gate::Sign;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;
use wire::Request;

use super::{
    engine::{AWAY, COLD, Engine, Step},
    plan::{Plan, Policies, TOKENS, ZONES, priority},
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
                Policies::Own => Box::new(gate::Guard::new(name.clone(), incarnation, self.now)),
                _ => Box::new(gate::Plain::new(incarnation, endpoint.limit.full)),
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
                    Policies::Rotation => Box::new(route::Plain::new(route::Order::Rotation)),
                    Policies::LeastLoaded => Box::new(route::Plain::new(route::Order::LeastLoaded)),
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
                let event = route::Event::Up { endpoint };
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

/// # Callers
impl World {
    fn arrive(&mut self) {
        let demand = self.plan.demand.clone();
        let total = demand.drafts + demand.orders;
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / total;
        self.push(Duration::from_secs_f64(gap), Event::Arrive);
        let orders = self.rng.random::<f64>() * total < demand.orders;
        let low = self.rng.random::<f64>() < demand.low;
        let mut point = self.rng.random::<f64>();
        let team = demand.teams.iter().find(|team| {
            point -= team.part;
            point < 0.0
        });
        let talk = TALKS as f64 * self.rng.random::<f64>().powi(2);
        let (service, tokens) = if orders {
            ("orders", ORDER_TOKENS)
        } else {
            ("drafts", self.rng.random_range(TOKENS.0..=TOKENS.1))
        };
        self.outcomes.push(Outcome {
            team: team.or(demand.teams.last()).map_or("", |team| team.name),
            priority: priority(orders, low),
            arrived: self.now - self.begin,
            first: None,
            answered: None,
            refused: 0,
            cut: false,
        });
        self.requests.push(Ask {
            service,
            entry: 0,
            prefix: vec![TEMPLATE, 2 + talk as u64],
            tokens,
            deadline: self.now,
            sends: 0,
            sent: self.now,
            attempt: 0,
        });
        self.send(self.requests.len() - 1);
    }

    fn send(&mut self, request: usize) {
        let entry = self.rng.random_range(0..self.entries.len());
        let ask = &mut self.requests[request];
        ask.entry = entry;
        ask.sends += 1;
        ask.sent = self.now;
        ask.attempt = 0;
        ask.deadline = self.now + Duration::from_secs(10);
        let outcome = &self.outcomes[request];
        let begin = route::Event::Begin(route::Ask {
            request: name(request, ask.sends),
            team: outcome.team.into(),
            service: ask.service.into(),
            priority: outcome.priority,
            repeatable: ask.service == "drafts",
            owner: None,
            prefix: ask.prefix.clone(),
            fingerprint: request as u64,
            replayable: true,
            deadline: ask.deadline,
        });
        self.tell(entry, begin);
    }

    fn tell(&mut self, entry: usize, event: route::Event) {
        for action in self.entries[entry].policy.handle(event, self.now) {
            let Some(request) = self.number(action.request()) else {
                continue;
            };
            match action {
                route::Action::Offer {
                    attempt, endpoint, ..
                } => {
                    self.requests[request].attempt = attempt;
                    let version = self.entries[entry].version;
                    let agent = self.agents.iter().position(|a| a.name == endpoint);
                    if let Some(agent) = agent {
                        self.push(
                            WIRE,
                            Event::Offer {
                                agent,
                                request,
                                attempt,
                                version,
                            },
                        );
                    }
                }
                route::Action::GiveUp { fault, .. } => self.give_up(request, &fault),
                route::Action::Abandon { attempt, .. } => self.abandon(request, attempt),
            }
        }
    }

    fn give_up(&mut self, request: usize, fault: &Fault) {
        self.outcomes[request].refused += 1;
        let ask = &self.requests[request];
        let (entry, name) = (ask.entry, name(request, ask.sends));
        let waited = self.now - ask.sent;
        if fault.run() == fault::Run::No {
            self.slowest_refusal = self.slowest_refusal.max(waited);
        }
        let after = fault.retry_time();
        self.tell(entry, route::Event::Ended { request: name });
        if let (true, Some(after)) = (self.outcomes[request].refused <= RETURNS, after) {
            let seconds = Duration::from_secs(after.as_secs_f64().ceil() as u64);
            let split = seconds.mul_f64(1.0 + 0.1 * self.rng.random::<f64>());
            self.push(split, Event::Return(request));
        }
    }

    /// Returns the number of a request whose present send has a name.
    fn number(&self, name: &Request) -> Option<usize> {
        let (request, send) = name.split_once('.')?;
        let request: usize = request.parse().ok()?;
        let present = self.requests.get(request)?.sends.to_string() == send;
        present.then_some(request)
    }
}

/// # Agents and engines
impl World {
    fn hint(&mut self, entry: usize, agent: usize) {
        let endpoint = self.agents[agent].name.clone();
        let hint = self.agents[agent].policy.hint();
        let event = route::Event::Hint { endpoint, hint };
        self.push(WIRE, Event::Tell { entry, event });
    }

    fn offer(&mut self, agent: usize, request: usize, attempt: u32, version: Number) {
        let ask = &self.requests[request];
        let outcome = &self.outcomes[request];
        let offer = gate::Event::Offer(gate::Ask {
            request: name(request, ask.sends),
            attempt,
            service: ask.service.into(),
            team: outcome.team.into(),
            priority: outcome.priority,
            repeatable: ask.service == "drafts",
            fingerprint: request as u64,
            deadline: ask.deadline,
            version,
        });
        self.tell_agent(agent, offer);
    }

    fn tell_agent(&mut self, agent: usize, event: gate::Event) {
        for action in self.agents[agent].policy.handle(event, self.now) {
            let (target, attempt) = action.target();
            let Some(request) = self.number(target) else {
                continue;
            };
            let name = target.clone();
            let entry = self.requests[request].entry;
            self.hint(entry, agent);
            let event = match action {
                gate::Action::Admit { .. } => {
                    self.admit(agent, request, attempt);
                    route::Event::Admitted {
                        request: name,
                        attempt,
                    }
                }
                gate::Action::Refuse { fault, .. } => {
                    self.agent_refusals.push(self.now - self.begin);
                    route::Event::Refused {
                        request: name,
                        attempt,
                        fault,
                    }
                }
            };
            self.push(WIRE, Event::Tell { entry, event });
        }
    }

    fn admit(&mut self, agent: usize, request: usize, attempt: u32) {
        if let Some(outage) = self.plan.outage {
            let since = self.now - self.begin;
            if self.agents[agent].zone == "c" && since > outage.out && since < outage.back {
                self.last_out = Some(since - outage.out);
            }
        }
        let ask = &self.requests[request];
        let (prefix, tokens) = (ask.prefix.last().copied().unwrap_or(0), ask.tokens);
        let engine = &mut self.agents[agent].engine;
        if !engine.is_up(self.now) {
            self.broken(agent, request, attempt);
            return;
        }
        if engine.add(request, attempt, prefix, tokens, self.now) {
            engine.deaths += 1;
            self.kill(agent, Some(self.now + AWAY));
        } else if !engine.stepping {
            self.plan_step(agent);
        }
    }

    fn plan_step(&mut self, agent: usize) {
        let engine = &mut self.agents[agent].engine;
        engine.stepping = !engine.batch.is_empty();
        if engine.stepping {
            let (time, boot) = (engine.step_time(), engine.boot);
            self.push(time, Event::Step { agent, boot });
        }
    }

    fn step(&mut self, agent: usize, boot: u64) {
        if self.agents[agent].engine.boot != boot {
            return;
        }
        self.expire(agent);
        for step in self.agents[agent].engine.step() {
            match step {
                Step::First(work) => self.first(agent, work.request, work.attempt),
                Step::End(work) => self.end(agent, work.request, work.attempt),
            }
        }
        self.plan_step(agent);
    }

    /// Cancels what has passed its deadline, as the agent does.
    fn expire(&mut self, agent: usize) {
        let batch = std::mem::take(&mut self.agents[agent].engine.batch);
        let (kept, late): (Vec<_>, Vec<_>) = batch
            .into_iter()
            .partition(|work| self.requests[work.request].deadline > self.now);
        self.agents[agent].engine.batch = kept;
        for work in late {
            let Some(name) = self.wanted(work.request, work.attempt) else {
                continue;
            };
            self.outcomes[work.request].cut = true;
            self.cancel(agent, name.clone(), work.attempt);
            let entry = self.requests[work.request].entry;
            let event = route::Event::Ended { request: name };
            self.push(WIRE, Event::Tell { entry, event });
        }
    }

    fn cancel(&mut self, agent: usize, request: Request, attempt: u32) {
        let outcome = gate::Outcome::Cancelled;
        let event = gate::Event::Finished {
            request,
            attempt,
            outcome,
        };
        self.tell_agent(agent, event);
    }

    /// Returns the name of a request if an attempt at it is still wanted.
    fn wanted(&self, request: usize, attempt: u32) -> Option<Request> {
        let ask = &self.requests[request];
        (ask.attempt == attempt).then(|| name(request, ask.sends))
    }

    fn first(&mut self, agent: usize, request: usize, attempt: u32) {
        let Some(name) = self.wanted(request, attempt) else {
            return;
        };
        let since = self.now - self.begin;
        self.outcomes[request].first.get_or_insert(since);
        let first = gate::Event::First {
            request: name.clone(),
            attempt,
        };
        self.tell_agent(agent, first);
        let entry = self.requests[request].entry;
        let event = route::Event::Progress {
            request: name,
            attempt,
        };
        self.push(WIRE, Event::Tell { entry, event });
    }

    fn end(&mut self, agent: usize, request: usize, attempt: u32) {
        let Some(name) = self.wanted(request, attempt) else {
            return;
        };
        let since = self.now - self.begin;
        self.outcomes[request].answered = Some(since);
        let outcome = gate::Outcome::Done;
        let event = gate::Event::Finished {
            request: name.clone(),
            attempt,
            outcome,
        };
        self.tell_agent(agent, event);
        let entry = self.requests[request].entry;
        let event = route::Event::Ended { request: name };
        self.push(WIRE, Event::Tell { entry, event });
    }

    fn broken(&mut self, agent: usize, request: usize, attempt: u32) {
        let Some(name) = self.wanted(request, attempt) else {
            return;
        };
        let outcome = gate::Outcome::Broken;
        let event = gate::Event::Finished {
            request: name.clone(),
            attempt,
            outcome,
        };
        self.tell_agent(agent, event);
        let entry = self.requests[request].entry;
        let event = if self.outcomes[request].first.is_some() {
            self.outcomes[request].cut = true;
            route::Event::Ended { request: name }
        } else {
            let fault = ErrorKind::Interrupted.into();
            let replayable = true;
            route::Event::Broken {
                request: name,
                attempt,
                fault,
                replayable,
            }
        };
        self.push(WIRE, Event::Tell { entry, event });
    }

    fn abandon(&mut self, request: usize, attempt: u32) {
        let name = name(request, self.requests[request].sends);
        for agent in 0..self.agents.len() {
            let batch = &mut self.agents[agent].engine.batch;
            let before = batch.len();
            batch.retain(|work| work.request != request || work.attempt != attempt);
            if batch.len() < before {
                self.cancel(agent, name.clone(), attempt);
            }
        }
    }

    fn kill(&mut self, agent: usize, back: Option<Instant>) {
        let engine = &mut self.agents[agent].engine;
        engine.stepping = false;
        for work in engine.die(back) {
            self.broken(agent, work.request, work.attempt);
        }
    }

    fn stop(&mut self) {
        for agent in 0..self.agents.len() {
            if self.agents[agent].zone == "c" {
                self.kill(agent, None);
            }
        }
    }

    fn start(&mut self) {
        for agent in 0..self.agents.len() {
            if self.agents[agent].zone == "c" {
                self.agents[agent].engine.up = Some(self.now);
            }
        }
    }

    fn probe(&mut self, agent: usize) {
        let engine = &self.agents[agent].engine;
        let up = engine.is_up(self.now).then_some(engine.boot);
        let running = u32::try_from(engine.batch.len()).unwrap_or(u32::MAX);
        let seen = std::mem::replace(&mut self.agents[agent].seen, up);
        let mut signs = Vec::new();
        match (seen, up) {
            (_, None) => signs.push(Sign::Down),
            (Some(old), Some(new)) if old != new => signs.push(Sign::Restarted),
            (None, Some(_)) => signs.push(Sign::Up),
            _ => {}
        }
        if up.is_some() {
            signs.push(Sign::Load { running, queued: 0 });
        }
        for sign in signs {
            self.tell_agent(agent, gate::Event::Sign(sign));
        }
        self.push(PROBE, Event::Probe(agent));
    }

    fn tally(self) -> Tally {
        let engines = self.agents.iter().map(|a| &a.engine);
        let drafts = engines.clone().filter(|e| e.limit == super::plan::DRAFTS);
        let (hits, misses) = drafts.fold((0, 0), |(h, m), e| (h + e.hits, m + e.misses));
        Tally {
            outcomes: self.outcomes,
            agent_refusals: self.agent_refusals,
            deaths: engines.clone().map(|e| e.deaths).sum(),
            over: engines.map(|e| e.over).max().unwrap_or(0),
            hits: hits as f64 / (hits + misses).max(1) as f64,
            slowest_refusal: self.slowest_refusal,
            full_again: self.full_again,
            last_out: self.last_out,
        }
    }
}

/// Returns the name of one send of a request.
fn name(request: usize, send: u32) -> Request {
    smol_str::format_smolstr!("{request}.{send}")
}
