use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use anyhow::Context as _;
use conf::{Document, id};
use event::{Kind, Recorder};
use expert::{
    Action, Answer, Command, Cost, Detail, Leader, Map, Order, Planner, Popularity, Request, Shape,
    Speed,
};
use futures::{
    StreamExt as _,
    future::{self, BoxFuture},
    stream::FuturesUnordered,
};
use node::{Configuration, Links, Watch};
use tokio::time::{self, Instant};
use xxhash_rust::xxh3::xxh3_64;

use crate::orders::Orders;

/// Interval between two rounds of a leader.
const ROUND_INTERVAL: Duration = Duration::from_millis(200);
/// Time in which a member must answer an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(1);

/// Members of a group: the endpoint and the address of its agent.
type Members = Vec<(id::Endpoint, SocketAddr)>;

/// Coordinates the map switches of the endpoint's group while this agent is the leader of the
/// group.
pub(crate) struct Coordinator {
    /// Name of this process.
    pub(crate) process: id::Process,
    /// Endpoint that this agent serves.
    pub(crate) endpoint: id::Endpoint,
    /// Incarnation of this process.
    pub(crate) incarnation: id::Incarnation,
    /// Configuration in force.
    pub(crate) watch: Watch,
    /// Links to the agents of the other members.
    pub(crate) links: Links,
    /// Order handler of this agent's engine.
    pub(crate) orders: Orders,
    /// Recorder of map switches.
    pub(crate) recorder: Recorder,
}

/// Observer that ignores the events of links.
pub(crate) struct Noop;

impl node::Observer for Noop {
    fn on_heartbeat(&self, _: SocketAddr, _: &wire::Heartbeat) {}

    fn on_disconnect(&self, _: SocketAddr) {}
}

/// State of one term of this agent as leader.
///
/// A term ends when another agent becomes the leader or the members of the group change.
struct Term {
    members: Members,
    group: id::Group,
    leader: Leader,
    planning: Planning,
    /// Maps by number.
    maps: BTreeMap<wire::Map, Map>,
    /// Map to switch to, which has no number yet.
    planned: Option<Map>,
}

/// State of the planning of a group's maps.
struct Planning {
    shape: Shape,
    /// Estimated popularity of the experts, from the counters of each member.
    popularity: Vec<Popularity>,
    /// Time from which the next map may be planned.
    due: Instant,
    interval: Duration,
}

impl Coordinator {
    /// Runs without end: connects to the other members, and runs rounds while this agent is the
    /// leader.
    pub(crate) async fn run(self) {
        let mut term: Option<Term> = None;
        let mut ticks = time::interval(ROUND_INTERVAL);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let current = self.watch.borrow().clone();
            let Some((group, members)) = self.group_members(&current) else {
                term = None;
                continue;
            };
            let others = members.iter().filter(|(name, _)| *name != self.endpoint);
            let wanted: Vec<SocketAddr> = others.map(|(_, address)| *address).collect();
            self.links.set_addresses(&wanted);
            if !self.is_leader(&group, &members) {
                term = None;
                continue;
            }
            let members_changed = term.as_ref().is_none_or(|t| t.members != members);
            if members_changed {
                term = self.begin_term(&current, group, members);
            }
            if let Some(term) = &mut term {
                self.run_round(term).await;
            }
        }
    }

    fn group_members(&self, current: &Configuration) -> Option<(id::Group, Members)> {
        let document = current.document.as_ref()?;
        let group = document.endpoints.get(&self.endpoint)?.group.clone()?;
        let member_of_group = |(name, endpoint): (&id::Endpoint, &conf::Endpoint)| {
            (endpoint.group.as_ref() == Some(&group)).then(|| (name.clone(), endpoint.agent))
        };
        let members = document
            .endpoints
            .iter()
            .filter_map(member_of_group)
            .collect();
        Some((group, members))
    }

    /// Returns whether this agent is the leader: rendezvous hashing selects it among the reachable
    /// ones.
    fn is_leader(&self, group: &id::Group, members: &Members) -> bool {
        let weight = |name: &id::Endpoint| xxh3_64(format!("{group}/{name}").as_bytes());
        let reachable = |(name, address): &&(id::Endpoint, SocketAddr)| {
            *name == self.endpoint || self.links.get(*address).is_some()
        };
        let leader = members
            .iter()
            .filter(reachable)
            .max_by_key(|(n, _)| weight(n));
        leader.is_some_and(|(name, _)| *name == self.endpoint)
    }

    fn begin_term(
        &self,
        current: &Configuration,
        group: id::Group,
        members: Members,
    ) -> Option<Term> {
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
            leader: Leader::new(current.version.number, self.incarnation, members.len()),
            members,
            group,
            planning,
            maps: BTreeMap::new(),
            planned: None,
        })
    }

    /// Runs a round until no order is pending or a member does not answer.
    async fn run_round(&self, term: &mut Term) {
        let mut pending = FuturesUnordered::new();
        let mut actions = term.leader.begin_round();
        loop {
            for action in std::mem::take(&mut actions) {
                match action {
                    Action::Send(member, order) => {
                        let call = self.prepare_order(term, member, order).await;
                        pending.push(call);
                    }
                    Action::Switched(map) => self.record_switch(term, map, "committed"),
                    Action::Steady => self.plan_switch(term).await,
                }
            }
            let Some((member, answer)) = pending.next().await else {
                return;
            };
            if let Some(answer) = answer {
                actions = term.leader.report(member, answer.report);
            }
        }
    }

    fn record_switch(&self, term: &Term, map: wire::Map, step: &str) {
        let (group, step) = (term.group.clone(), step.into());
        self.recorder
            .record(None, Kind::Switch { group, map, step });
    }

    /// Returns the call that sends an order, with the content of the map that the order names.
    async fn prepare_order(
        &self,
        term: &mut Term,
        member: usize,
        order: Order,
    ) -> BoxFuture<'static, (usize, Option<Answer>)> {
        let content = match order.command {
            Command::Prepare { map } => {
                if let Some(planned) = term.planned.take() {
                    self.record_switch(term, map, "prepare");
                    term.maps.retain(|number, _| *number + 2 > map);
                    term.maps.insert(map, planned);
                }
                term.maps.get(&map).cloned()
            }
            Command::Join { position } => self.map_content(term, position.map).await,
            _ => None,
        };
        let request = Request {
            order,
            content,
            detail: false,
        };
        let call = self.send_request(term, member, request);
        Box::pin(async move { (member, call.await) })
    }

    /// Returns the content of the map in force; asks the members if this leader does not have it.
    async fn map_content(&self, term: &mut Term, map: wire::Map) -> Option<Map> {
        if let Some(content) = term.maps.get(&map) {
            return Some(content.clone());
        }
        let details = self.request_details(term).await;
        let content = details
            .into_iter()
            .flatten()
            .find_map(|detail| detail.content)?;
        term.maps.insert(map, content.clone());
        Some(content)
    }

    /// Requests counters and the map in force from all members; `None` for those that do not
    /// answer.
    async fn request_details(&self, term: &Term) -> Vec<Option<Detail>> {
        let request_detail = |member| {
            let order = Order {
                fence: term.leader.fence(),
                incarnation: None,
                command: Command::Query,
            };
            let request = Request {
                order,
                content: None,
                detail: true,
            };
            self.send_request(term, member, request)
        };
        let answers = futures::future::join_all((0..term.members.len()).map(request_detail)).await;
        answers
            .into_iter()
            .map(|a| a.and_then(|a| a.detail))
            .collect()
    }

    /// Plans a map if one is due, and requests a switch if the planner returns one.
    async fn plan_switch(&self, term: &mut Term) {
        let now = Instant::now();
        if now < term.planning.due || term.leader.switch_requested() {
            return;
        }
        term.planning.due = now + term.planning.interval;
        let details = self.request_details(term).await;
        match term.planning.plan(&details) {
            Ok(Some(map)) => {
                term.planned = Some(map);
                term.leader.request_switch();
            }
            Ok(None) => {}
            Err(e) => log::warn!("group {}: no new map was planned: {e:#}", term.group),
        }
    }

    /// Sends a request to a member; returns `None` if it does not answer in time.
    fn send_request(
        &self,
        term: &Term,
        member: usize,
        request: Request,
    ) -> BoxFuture<'static, Option<Answer>> {
        let (name, address) = term.members[member].clone();
        if name == self.endpoint {
            let orders = self.orders.clone();
            return Box::pin(async move {
                let answer = orders.execute(request).await;
                answer.inspect_err(|e| log_failure(&name, e)).ok()
            });
        }
        let body = match serde_json::to_string(&request) {
            Ok(body) => body.into(),
            Err(e) => {
                log_failure(&name, &e.into());
                return Box::pin(future::ready(None));
            }
        };
        let order = wire::Order {
            group: term.group.clone(),
            leader: self.process.clone(),
            fence: request.order.fence.into(),
            body,
        };
        let link = self.links.get(address);
        Box::pin(async move {
            let call = async {
                let peer = link.context("no link")?.open_control().await?;
                let report = peer.order(tarpc::context::current(), order).await?;
                anyhow::Ok(serde_json::from_str(&report.body)?)
            };
            let answer = time::timeout(ORDER_TIMEOUT, call).await;
            let answer = answer.unwrap_or_else(|e| Err(e.into()));
            answer.inspect_err(|e| log_failure(&name, e)).ok()
        })
    }
}

impl Planning {
    /// Updates the popularity from the counters of all members and plans from the map in force.
    ///
    /// Returns `None` if no switch is needed or worth its cost.
    ///
    /// # Errors
    ///
    /// Returns an error if a member did not report its counters, they are not valid, or planning
    /// fails.
    fn plan(&mut self, details: &[Option<Detail>]) -> anyhow::Result<Option<Map>> {
        for (popularity, detail) in self.popularity.iter_mut().zip(details) {
            let detail = detail.as_ref().ok_or_else(missing_counters)?;
            popularity.observe(&detail.counters)?;
        }
        let mut total = Popularity::new(self.shape);
        self.popularity.iter().for_each(|part| total.add(part));
        let speeds: Vec<Speed> = vec![Some(1.0); self.shape.ranks];
        let planner = Planner::new(self.shape, Cost::default());
        let reported = details.iter().flatten();
        let Some(map) = reported.flat_map(|d| d.content.clone()).next() else {
            return Ok(Some(planner.plan_from_scratch(&total, &speeds)?));
        };
        let plan = planner.plan(&map, &total, &speeds)?;
        Ok(plan.map(|plan| plan.map))
    }
}

fn missing_counters() -> anyhow::Error {
    anyhow::anyhow!("a member did not report its counters")
}

/// Logs that an order of the leader was not answered.
fn log_failure(member: &id::Endpoint, error: &anyhow::Error) {
    log::debug!(endpoint:% = member, reason:% = format!("{error:#}"); "order was not answered");
}
