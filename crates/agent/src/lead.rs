use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use conf::{Document, id};
use event::{Kind, Recorder};
use expert::{
    Action, Answer, Command, Cost, Detail, Leader, Map, Order, Planner, Popularity, Request, Shape,
    Speed,
};
use futures::{StreamExt as _, future::BoxFuture, stream::FuturesUnordered};
use node::{Configuration, Links, Watch};
use tokio::time::{self, Instant};
use xxhash_rust::xxh3::xxh3_64;

use crate::orders::Orders;

/// Time between two rounds of a leader.
const ROUND: Duration = Duration::from_millis(200);
/// Time in which a member must answer an order.
const ANSWER: Duration = Duration::from_secs(1);

/// Members of a group by endpoint, with the address of each one's agent.
type Members = Vec<(id::Endpoint, SocketAddr)>;

/// Leads the group of the own endpoint while no other agent comes first.
pub(crate) struct Lead {
    /// The own process.
    pub(crate) process: id::Process,
    /// The own endpoint.
    pub(crate) endpoint: id::Endpoint,
    /// Life of the own process.
    pub(crate) life: id::Incarnation,
    /// The configuration.
    pub(crate) watch: Watch,
    /// Links to the other members.
    pub(crate) links: Links,
    /// Guard of the own engine.
    pub(crate) orders: Orders,
    /// Time line.
    pub(crate) recorder: Recorder,
}

/// Observer of links that needs to know nothing.
pub(crate) struct Quiet;

impl node::Observer for Quiet {
    fn on_heartbeat(&self, _: SocketAddr, _: &wire::Heartbeat) {}

    fn on_disconnect(&self, _: SocketAddr) {}
}

/// What one term as leader keeps.
struct Term {
    members: Members,
    group: id::Group,
    leader: Leader,
    planning: Planning,
    contents: BTreeMap<wire::Map, Map>,
    planned: Option<Map>,
}

/// Estimate and planner of a group.
struct Planning {
    shape: Shape,
    popularity: Vec<Popularity>,
    due: Instant,
    interval: Duration,
}

impl Lead {
    /// Leads for ever, whenever it is this agent's turn.
    pub(crate) async fn run(self) {
        let mut term: Option<Term> = None;
        let mut ticks = time::interval(ROUND);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let current = self.watch.borrow().clone();
            let Some((group, members)) = self.members(&current) else {
                term = None;
                continue;
            };
            let others = members.iter().filter(|(name, _)| *name != self.endpoint);
            let wanted: Vec<SocketAddr> = others.map(|(_, address)| *address).collect();
            self.links.set_addresses(&wanted);
            if !self.leads(&group, &members) {
                term = None;
                continue;
            }
            let fresh = term.as_ref().is_none_or(|t| t.members != members);
            if fresh {
                term = self.term(&current, group, members);
            }
            if let Some(term) = &mut term {
                self.round(term).await;
            }
        }
    }

    fn members(&self, current: &Configuration) -> Option<(id::Group, Members)> {
        let document = current.document.as_ref()?;
        let group = document.endpoints.get(&self.endpoint)?.group.clone()?;
        let of_group = |(name, endpoint): (&id::Endpoint, &conf::Endpoint)| {
            (endpoint.group.as_ref() == Some(&group)).then(|| (name.clone(), endpoint.agent))
        };
        let members = document.endpoints.iter().filter_map(of_group).collect();
        Some((group, members))
    }

    /// Returns whether the own agent comes first by rendezvous among those that can be reached.
    fn leads(&self, group: &id::Group, members: &Members) -> bool {
        let weight = |name: &id::Endpoint| xxh3_64(format!("{group}/{name}").as_bytes());
        let reachable = |(name, address): &&(id::Endpoint, SocketAddr)| {
            *name == self.endpoint || self.links.get(*address).is_some()
        };
        let first = members
            .iter()
            .filter(reachable)
            .max_by_key(|(n, _)| weight(n));
        first.is_some_and(|(name, _)| *name == self.endpoint)
    }

    fn term(&self, current: &Configuration, group: id::Group, members: Members) -> Option<Term> {
        let document: &Arc<Document> = current.document.as_ref()?;
        let settings = document.groups.get(&group)?;
        let shape = Shape::from(settings);
        let planning = Planning {
            shape,
            popularity: vec![Popularity::new(shape); members.len()],
            due: Instant::now() + settings.rebalance,
            interval: settings.rebalance,
        };
        Some(Term {
            leader: Leader::new(current.version.number, self.life, members.len()),
            members,
            group,
            planning,
            contents: BTreeMap::new(),
            planned: None,
        })
    }

    /// Runs a round until nothing more is to be sent or a member does not answer.
    async fn round(&self, term: &mut Term) {
        let mut sent = FuturesUnordered::new();
        let mut actions = term.leader.begin();
        loop {
            for action in std::mem::take(&mut actions) {
                match action {
                    Action::Send(member, order) => {
                        let call = self.send(term, member, order).await;
                        sent.push(call);
                    }
                    Action::Switched(map) => self.tell(term, map, "committed"),
                    Action::Steady => self.plan(term).await,
                }
            }
            let Some((member, answer)) = sent.next().await else {
                return;
            };
            if let Some(answer) = answer {
                actions = term.leader.report(member, answer.report);
            }
        }
    }

    fn tell(&self, term: &Term, map: wire::Map, step: &str) {
        let (group, step) = (term.group.clone(), step.into());
        self.recorder
            .record(None, Kind::Switch { group, map, step });
    }

    /// Starts an order; orders that name a map go with its content.
    async fn send(
        &self,
        term: &mut Term,
        member: usize,
        order: Order,
    ) -> BoxFuture<'static, (usize, Option<Answer>)> {
        let content = match order.command {
            Command::Prepare { map } => {
                if let Some(planned) = term.planned.take() {
                    self.tell(term, map, "prepare");
                    term.contents.retain(|number, _| *number + 2 > map);
                    term.contents.insert(map, planned);
                }
                term.contents.get(&map).cloned()
            }
            Command::Join { place } => self.content(term, place.map).await,
            _ => None,
        };
        let request = Request {
            order,
            content,
            detail: false,
        };
        let call = self.call(term, member, request);
        Box::pin(async move { (member, call.await) })
    }

    /// Returns the content of the map in force, from a member if this leader never had it.
    async fn content(&self, term: &mut Term, map: wire::Map) -> Option<Map> {
        if let Some(content) = term.contents.get(&map) {
            return Some(content.clone());
        }
        let details = self.details(term).await;
        let content = details
            .into_iter()
            .flatten()
            .find_map(|detail| detail.content)?;
        term.contents.insert(map, content.clone());
        Some(content)
    }

    /// Asks all members for their counters and map; `None` for those that do not answer.
    async fn details(&self, term: &Term) -> Vec<Option<Detail>> {
        let ask = |member| {
            let order = Order {
                fence: term.leader.fence(),
                life: None,
                command: Command::Ask,
            };
            let request = Request {
                order,
                content: None,
                detail: true,
            };
            self.call(term, member, request)
        };
        let answers = futures::future::join_all((0..term.members.len()).map(ask)).await;
        answers
            .into_iter()
            .map(|a| a.and_then(|a| a.detail))
            .collect()
    }

    /// Plans if it is time, and wishes a switch if that pays.
    async fn plan(&self, term: &mut Term) {
        let now = Instant::now();
        if now < term.planning.due || term.leader.wishes() {
            return;
        }
        term.planning.due = now + term.planning.interval;
        let details = self.details(term).await;
        match term.planning.plan(&details) {
            Ok(Some(map)) => {
                term.planned = Some(map);
                term.leader.wish();
            }
            Ok(None) => {}
            Err(e) => log::warn!("group {}: the map in force stays: {e:#}", term.group),
        }
    }

    fn call(
        &self,
        term: &Term,
        member: usize,
        request: Request,
    ) -> BoxFuture<'static, Option<Answer>> {
        let (name, address) = term.members[member].clone();
        if name == self.endpoint {
            let orders = self.orders.clone();
            return Box::pin(async move { orders.carry_out(request).await.ok() });
        }
        let order = wire::Order {
            group: term.group.clone(),
            leader: self.process.clone(),
            fence: request.order.fence.into(),
            body: serde_json::to_string(&request).unwrap_or_default().into(),
        };
        let link = self.links.get(address);
        Box::pin(async move {
            let call = async {
                let client = link?.open_control().await.ok()?;
                let report = client.order(tarpc::context::current(), order).await.ok()?;
                serde_json::from_str(&report.body).ok()
            };
            time::timeout(ANSWER, call).await.ok().flatten()
        })
    }
}

impl Planning {
    /// Takes in the counters of all members and plans from the map in force.
    fn plan(&mut self, details: &[Option<Detail>]) -> anyhow::Result<Option<Map>> {
        for (popularity, detail) in self.popularity.iter_mut().zip(details) {
            let detail = detail.as_ref().ok_or_else(missing)?;
            popularity.observe(&detail.counters)?;
        }
        let mut total = Popularity::new(self.shape);
        self.popularity.iter().for_each(|part| total.add(part));
        let speeds: Vec<Speed> = vec![Some(1.0); self.shape.ranks];
        let planner = Planner::new(self.shape, Cost::default());
        let contents = details.iter().flatten();
        let Some(map) = contents.flat_map(|d| d.content.clone()).next() else {
            return Ok(Some(planner.fresh(&total, &speeds)?));
        };
        let plan = planner.plan(&map, &total, &speeds)?;
        Ok(plan.map(|plan| plan.map))
    }
}

fn missing() -> anyhow::Error {
    anyhow::anyhow!("a member gave no counters")
}
