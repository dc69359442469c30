//! Model of the switch for a model checker: engines, agents, leaders, and a network that loses,
//! repeats and reorders messages. Its transitions call the production code.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet, HashSet},
    fmt,
    hash::{DefaultHasher, Hash, Hasher},
};

use expert::{Action, Command, Fence, Follower, Leader, Member, Order, Position, Rank, Report};
use pathfinding::prelude::bfs;

/// One in this many states is checked for recovery.
const RECOVERY_SAMPLE: u64 = 16;
/// Rounds without faults within which a group must step again.
const RECOVERY_ROUNDS: usize = 8;

/// Bounds of the model: its size, how often each fault may happen, and how far the group steps.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Bounds {
    pub(crate) members: usize,
    pub(crate) leaders: usize,
    /// Crashes of engines.
    pub(crate) crashes: u8,
    /// Restarts of agents.
    pub(crate) restarts: u8,
    pub(crate) leader_crashes: u8,
    /// Answers that are lost.
    pub(crate) losses: u8,
    /// Leaders that request a switch.
    pub(crate) switch_requests: u8,
    /// Highest number of a leader's round.
    pub(crate) rounds: u32,
    /// Highest step that an engine enters.
    pub(crate) steps: u64,
    /// Whether engines refuse orders with an outdated fencing token.
    pub(crate) fenced: bool,
}

/// Rule that the model leaves out, to check that the model checker finds the fault.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Fault {
    None,
    /// The agent passes every order on to the engine.
    NoFilter,
    /// The leader treats an order without an answer as carried out.
    LostAnswerIsDone,
    /// An engine that restarts steps at once, with the first map, instead of staying cold.
    ColdRankSteps,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Group {
    ranks: Vec<Rank>,
    /// Agent of each member, with its incarnation.
    agents: Vec<(Follower, u64)>,
    leaders: Vec<Leader>,
    /// Orders in the network; each can be delivered any number of times.
    orders: BTreeSet<(Member, Order)>,
    /// Epoch and step that each member entered last.
    entered: Vec<(Fence, u64)>,
    /// Map number used in each of the newest steps, by epoch and step.
    maps: BTreeMap<(Fence, u64), u64>,
    /// Whether two members used different maps in the same step.
    broken: bool,
    /// Faults that may still happen, and the limits that stay.
    remaining: Bounds,
    /// Last incarnation given to a restarted process.
    last_incarnation: u64,
}

impl Group {
    pub(crate) fn new(bounds: Bounds) -> Self {
        let position = Position {
            epoch: Fence::default(),
            step: 2,
            map: 0,
            pending: None,
        };
        let mut ranks = vec![Rank::new(1, bounds.fenced); bounds.members];
        for rank in &mut ranks {
            rank.execute(Fence::default(), Command::Join { position });
        }
        let new_leader = |index: usize| {
            let mut leader = Leader::new(1, 100 + index as u64, bounds.members).margin(1);
            if index < usize::from(bounds.switch_requests) {
                leader.request_switch();
            }
            leader
        };
        Self {
            ranks,
            agents: vec![(Follower::new(1), 1); bounds.members],
            leaders: (0..bounds.leaders).map(new_leader).collect(),
            orders: BTreeSet::new(),
            entered: vec![(Fence::default(), 1); bounds.members],
            maps: BTreeMap::new(),
            broken: false,
            remaining: bounds,
            last_incarnation: 1,
        }
    }

    /// Puts the orders of a leader into the network.
    fn send(&mut self, actions: Vec<Action>) {
        for action in actions {
            if let Action::Send(member, order) = action {
                self.orders.insert((member, order));
            }
        }
    }

    /// Delivers an order to a member and returns the member's report.
    fn deliver(&mut self, member: Member, order: Order, fault: Fault) -> Report {
        let agent = &mut self.agents[member].0;
        let admitted = agent.admit(&order, &self.ranks[member].state()) || fault == Fault::NoFilter;
        let rank = &mut self.ranks[member];
        let before = rank.state().position;
        let done = admitted && rank.execute(order.fence, order.command);
        let after = rank.state().position;
        if let (None, Some(position)) = (before, after)
            && self.entered[member].0 != position.epoch
        {
            self.entered[member] = (position.epoch, position.step);
        }
        let mut report = self.agents[member].0.report(&order, done, rank.state());
        if fault == Fault::NoFilter {
            report.highest = order.fence;
        }
        report
    }

    /// Delivers a report to the leader of its round.
    fn answer(&mut self, member: Member, report: Report) {
        let is_addressee = |leader: &&mut Leader| leader.fence().leader == report.fence.leader;
        if let Some(leader) = self.leaders.iter_mut().find(is_addressee) {
            let actions = leader.report(member, report);
            self.send(actions);
        }
    }

    /// Enters the member's next step if all members have entered its current one; returns whether
    /// it did.
    fn enter(&mut self, member: Member) -> bool {
        let Some(position) = self.ranks[member].state().position else {
            return false;
        };
        let has_entered =
            |(epoch, step): &(Fence, u64)| *epoch == position.epoch && *step >= position.step;
        if !self.entered.iter().all(has_entered) {
            return false;
        }
        let Some((step, map)) = self.ranks[member].enter() else {
            return false;
        };
        let entered = &mut self.entered[member];
        entered.1 = entered.1.max(step);
        let first_map = *self.maps.entry((position.epoch, step)).or_insert(map);
        self.broken |= first_map != map;
        let oldest = step.saturating_sub(2);
        self.maps.retain(|(_, s), _| *s >= oldest);
        true
    }

    /// Drops orders that can no longer have an effect, to reduce the number of states.
    fn prune(&mut self, fault: Fault) {
        if fault == Fault::NoFilter {
            return;
        }
        let (agents, restarts) = (&self.agents, self.remaining.restarts);
        self.orders.retain(|(member, order)| {
            let (agent, incarnation) = &agents[*member];
            let addressed = order.incarnation.is_none_or(|i| i == *incarnation);
            addressed
                && (order.fence >= agent.highest() || (restarts > 0 && order.incarnation.is_none()))
        });
    }

    /// Lists the states that one transition leads to.
    fn successors(&self, fault: Fault) -> Vec<Group> {
        let mut all = Vec::new();
        self.deliveries(fault, &mut all);
        for leader in 0..self.remaining.leaders {
            if self.leaders[leader].fence().round < self.remaining.rounds {
                all.push(self.with(|g| {
                    let actions = g.leaders[leader].begin_round();
                    g.send(actions);
                }));
            }
            if self.remaining.leader_crashes > 0 {
                all.push(self.with(|g| g.crash_leader(leader)));
            }
        }
        for member in 0..self.remaining.members {
            self.faults(member, fault, &mut all);
            let step = self.ranks[member].state().position.map_or(0, |p| p.step);
            if step < self.remaining.steps {
                let mut next = self.clone();
                if next.enter(member) {
                    all.push(next);
                }
            }
        }
        all.iter_mut().for_each(|g| g.prune(fault));
        all.retain(|g| {
            g.leaders
                .iter()
                .all(|l| l.fence().round <= g.remaining.rounds)
        });
        all
    }

    /// Adds the states after the delivery of each order in the network, with and without its
    /// answer.
    fn deliveries(&self, fault: Fault, all: &mut Vec<Group>) {
        for (member, order) in &self.orders {
            let mut next = self.clone();
            let report = next.deliver(*member, *order, fault);
            if self.remaining.losses > 0 {
                all.push(next.with(|g| g.remaining.losses -= 1));
            }
            next.answer(*member, report);
            all.push(next);
            if fault == Fault::LostAnswerIsDone {
                let forged = Report {
                    done: true,
                    highest: order.fence,
                    ..report
                };
                let state = self.ranks[*member].state();
                all.push(self.with(|g| g.answer(*member, Report { state, ..forged })));
            }
        }
    }

    /// Adds the states after each fault of a member that may still happen.
    fn faults(&self, member: Member, fault: Fault, all: &mut Vec<Group>) {
        if self.remaining.crashes > 0 {
            all.push(self.with(|g| g.crash(member, fault)));
        }
        if self.remaining.restarts > 0 {
            all.push(self.with(|g| {
                g.remaining.restarts -= 1;
                g.last_incarnation += 1;
                g.agents[member] = (Follower::new(g.last_incarnation), g.last_incarnation);
            }));
        }
    }

    /// Restarts the engine of a member.
    fn crash(&mut self, member: Member, fault: Fault) {
        self.remaining.crashes -= 1;
        let state = self.ranks[member].state();
        if let Some(position) = state.position {
            self.undo_entry(member, position);
        }
        let mut rank = Rank::new(state.boot + 1, self.remaining.fenced);
        if let (Fault::ColdRankSteps, Some(position)) = (fault, state.position) {
            let position = Position {
                map: 0,
                pending: None,
                ..position
            };
            rank.execute(Fence::default(), Command::Join { position });
        }
        self.ranks[member] = rank;
    }

    /// Undoes the entry of a rank that crashes before all members have entered the same step.
    fn undo_entry(&mut self, member: Member, position: Position) {
        let key = (position.epoch, position.step);
        if self
            .entered
            .iter()
            .all(|entered| entered.0 == key.0 && entered.1 >= key.1)
        {
            return;
        }
        self.entered[member] = (position.epoch, position.step - 1);
        if !self.entered.contains(&key) {
            self.maps.remove(&key);
        }
    }

    /// Replaces a leader by one without a requested switch.
    fn crash_leader(&mut self, leader: usize) {
        self.remaining.leader_crashes -= 1;
        self.last_incarnation += 1;
        self.leaders[leader] =
            Leader::new(1, 100 + self.last_incarnation, self.remaining.members).margin(1);
    }

    /// Returns the state after a change.
    fn with(&self, change: impl FnOnce(&mut Group)) -> Group {
        let mut next = self.clone();
        change(&mut next);
        next
    }

    /// Returns whether the group steps again if one leader runs without further faults.
    fn recovers(&self) -> bool {
        let mut group = self.clone();
        for _ in 0..RECOVERY_ROUNDS {
            let newest_step = group.newest_step();
            group.orders.clear();
            let actions = group.leaders[0].begin_round();
            group.send(actions);
            while let Some((member, order)) = group.orders.pop_first() {
                let report = group.deliver(member, order, Fault::None);
                group.answer(member, report);
            }
            for _ in 0..4 * self.remaining.members {
                for member in 0..self.remaining.members {
                    group.enter(member);
                }
            }
            let unblocked = group.ranks.iter().all(|r| r.next_step().is_some());
            if unblocked && !group.broken && group.newest_step() >= newest_step + 3 {
                return true;
            }
        }
        false
    }

    /// Returns whether the state is in the sample that is checked for recovery.
    fn is_sampled(&self) -> bool {
        let mut hasher = DefaultHasher::new();
        self.hash(&mut hasher);
        hasher.finish().is_multiple_of(RECOVERY_SAMPLE)
    }

    fn newest_step(&self) -> u64 {
        let positions = self.ranks.iter().filter_map(|r| r.state().position);
        positions.map(|position| position.step).max().unwrap_or(0)
    }
}

impl fmt::Display for Group {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for rank in &self.ranks {
            match rank.state().position {
                None => f.write_str("cold | ")?,
                Some(Position {
                    step, map, pending, ..
                }) => {
                    write!(f, "step {step} map {map}")?;
                    if let Some(switch) = pending {
                        let status = if switch.committed { "commit" } else { "armed" };
                        write!(f, " {status} {}@{}", switch.map, switch.at)?;
                    }
                    f.write_str(" | ")?;
                }
            }
        }
        for leader in &self.leaders {
            write!(f, "round {} ", leader.fence().round)?;
        }
        write!(f, "orders {}", self.orders.len())
    }
}

/// Result of an exploration.
pub(crate) struct Exploration {
    /// Number of distinct states explored.
    pub(crate) states: usize,
    /// Shortest sequence of states to one that breaks an invariant, if any.
    pub(crate) trace: Option<Vec<Group>>,
}

/// Explores all states within bounds, breadth first, until one breaks an invariant.
pub(crate) fn explore(bounds: Bounds, fault: Fault) -> Exploration {
    let start = Group::new(bounds);
    let states = RefCell::new(0);
    let breaks_invariant = |group: &Group| {
        *states.borrow_mut() += 1;
        group.broken || (fault == Fault::None && group.is_sampled() && !group.recovers())
    };
    let successors = |group: &Group| {
        let unique: HashSet<Group> = group.successors(fault).into_iter().collect();
        let mut unique: Vec<Group> = unique.into_iter().collect();
        unique.sort_by_cached_key(ToString::to_string);
        unique
    };
    let trace = bfs(&start, successors, breaks_invariant);
    Exploration {
        states: states.into_inner(),
        trace,
    }
}
