//! Specification of the switch: engines, agents, leaders, and a network that loses, repeats and
//! reorders. Its steps call the production transition functions.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet, HashSet},
    fmt,
    hash::{DefaultHasher, Hash, Hasher},
};

use expert::{Action, Command, Fence, Follower, Leader, Member, Order, Position, Rank, Report};
use pathfinding::prelude::bfs;

/// Share of the states that are checked for recovery: one in so many.
const SAMPLE: u64 = 16;
/// Rounds of a fair schedule after which a group must step again.
const FAIR_ROUNDS: usize = 8;

/// How often each fault may happen, and how far the group goes.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Bounds {
    pub(crate) members: usize,
    pub(crate) leaders: usize,
    pub(crate) crashes: u8,
    pub(crate) restarts: u8,
    pub(crate) leader_crashes: u8,
    pub(crate) losses: u8,
    pub(crate) wishes: u8,
    pub(crate) rounds: u32,
    pub(crate) steps: u64,
    pub(crate) fenced: bool,
}

/// Rule that the specification leaves out, to see that its loss is found.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Fault {
    None,
    /// The agent passes every order on.
    NoGuard,
    /// The leader takes an order as carried out by a member that did not answer.
    LostAnswerCounts,
    /// An engine that comes back cold steps with its first map.
    ColdSteps,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Group {
    ranks: Vec<Rank>,
    agents: Vec<(Follower, u64)>,
    leaders: Vec<Leader>,
    orders: BTreeSet<(Member, Order)>,
    entered: Vec<(Fence, u64)>,
    record: BTreeMap<(Fence, u64), u64>,
    broken: bool,
    left: Bounds,
    lives: u64,
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
        let lead = |life: usize| {
            let mut leader = Leader::new(1, 100 + life as u64, bounds.members).margin(1);
            if life < usize::from(bounds.wishes) {
                leader.request_switch();
            }
            leader
        };
        Self {
            ranks,
            agents: vec![(Follower::new(1), 1); bounds.members],
            leaders: (0..bounds.leaders).map(lead).collect(),
            orders: BTreeSet::new(),
            entered: vec![(Fence::default(), 1); bounds.members],
            record: BTreeMap::new(),
            broken: false,
            left: bounds,
            lives: 1,
        }
    }

    fn act(&mut self, actions: Vec<Action>) {
        for action in actions {
            if let Action::Send(member, order) = action {
                self.orders.insert((member, order));
            }
        }
    }

    fn deliver(&mut self, member: Member, order: Order, fault: Fault) -> Report {
        let agent = &mut self.agents[member].0;
        let admitted = agent.admit(&order, &self.ranks[member].state()) || fault == Fault::NoGuard;
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
        if fault == Fault::NoGuard {
            report.highest = order.fence;
        }
        report
    }

    fn answer(&mut self, member: Member, report: Report) {
        let leads = |leader: &&mut Leader| leader.fence().leader == report.fence.leader;
        if let Some(leader) = self.leaders.iter_mut().find(leads) {
            let actions = leader.report(member, report);
            self.act(actions);
        }
    }

    /// Enters the next step, if all others were in the one before.
    fn enter(&mut self, member: Member) -> bool {
        let Some(position) = self.ranks[member].state().position else {
            return false;
        };
        let ready =
            |(epoch, step): &(Fence, u64)| *epoch == position.epoch && *step >= position.step;
        if !self.entered.iter().all(ready) {
            return false;
        }
        let Some((step, map)) = self.ranks[member].enter() else {
            return false;
        };
        let entered = &mut self.entered[member];
        entered.1 = entered.1.max(step);
        let first = *self.record.entry((position.epoch, step)).or_insert(map);
        self.broken |= first != map;
        let oldest = step.saturating_sub(2);
        self.record.retain(|(_, s), _| *s >= oldest);
        true
    }

    /// Drops orders that can have no effect any more, to keep the states few.
    fn prune(&mut self, fault: Fault) {
        if fault == Fault::NoGuard {
            return;
        }
        let (agents, restarts) = (&self.agents, self.left.restarts);
        self.orders.retain(|(member, order)| {
            let (agent, life) = &agents[*member];
            let lives = order.incarnation.is_none_or(|l| l == *life);
            lives
                && (order.fence >= agent.highest() || (restarts > 0 && order.incarnation.is_none()))
        });
    }

    fn successors(&self, fault: Fault) -> Vec<Group> {
        let mut all = Vec::new();
        self.deliveries(fault, &mut all);
        for leader in 0..self.left.leaders {
            if self.leaders[leader].fence().round < self.left.rounds {
                all.push(self.with(|g| {
                    let actions = g.leaders[leader].begin_round();
                    g.act(actions);
                }));
            }
            if self.left.leader_crashes > 0 {
                all.push(self.with(|g| g.crash_leader(leader)));
            }
        }
        for member in 0..self.left.members {
            self.faults(member, fault, &mut all);
            let step = self.ranks[member].state().position.map_or(0, |p| p.step);
            if step < self.left.steps {
                let mut next = self.clone();
                if next.enter(member) {
                    all.push(next);
                }
            }
        }
        all.iter_mut().for_each(|g| g.prune(fault));
        all.retain(|g| g.leaders.iter().all(|l| l.fence().round <= g.left.rounds));
        all
    }

    fn deliveries(&self, fault: Fault, all: &mut Vec<Group>) {
        for (member, order) in &self.orders {
            let mut next = self.clone();
            let report = next.deliver(*member, *order, fault);
            if self.left.losses > 0 {
                all.push(next.with(|g| g.left.losses -= 1));
            }
            next.answer(*member, report);
            all.push(next);
            if fault == Fault::LostAnswerCounts {
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

    fn faults(&self, member: Member, fault: Fault, all: &mut Vec<Group>) {
        if self.left.crashes > 0 {
            all.push(self.with(|g| g.crash(member, fault)));
        }
        if self.left.restarts > 0 {
            all.push(self.with(|g| {
                g.left.restarts -= 1;
                g.lives += 1;
                g.agents[member] = (Follower::new(g.lives), g.lives);
            }));
        }
    }

    fn crash(&mut self, member: Member, fault: Fault) {
        self.left.crashes -= 1;
        let state = self.ranks[member].state();
        if let Some(position) = state.position {
            self.void(member, position);
        }
        let mut rank = Rank::new(state.boot + 1, self.left.fenced);
        if let (Fault::ColdSteps, Some(position)) = (fault, state.position) {
            let position = Position {
                map: 0,
                pending: None,
                ..position
            };
            rank.execute(Fence::default(), Command::Join { position });
        }
        self.ranks[member] = rank;
    }

    /// Takes back the entry of a rank that dies before all others are in the same step.
    fn void(&mut self, member: Member, position: Position) {
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
            self.record.remove(&key);
        }
    }

    fn crash_leader(&mut self, leader: usize) {
        self.left.leader_crashes -= 1;
        self.lives += 1;
        self.leaders[leader] = Leader::new(1, 100 + self.lives, self.left.members).margin(1);
    }

    fn with(&self, change: impl FnOnce(&mut Group)) -> Group {
        let mut next = self.clone();
        change(&mut next);
        next
    }

    /// Runs one leader without further faults and returns whether the group then steps freely.
    fn recovers(&self) -> bool {
        let mut group = self.clone();
        for _ in 0..FAIR_ROUNDS {
            let newest = group.newest();
            group.orders.clear();
            let actions = group.leaders[0].begin_round();
            group.act(actions);
            while let Some((member, order)) = group.orders.pop_first() {
                let report = group.deliver(member, order, Fault::None);
                group.answer(member, report);
            }
            for _ in 0..4 * self.left.members {
                for member in 0..self.left.members {
                    group.enter(member);
                }
            }
            let free = group.ranks.iter().all(|r| r.next_step().is_some());
            if free && !group.broken && group.newest() >= newest + 3 {
                return true;
            }
        }
        false
    }

    /// Returns whether the state is among those checked for recovery.
    fn sampled(&self) -> bool {
        let mut hasher = DefaultHasher::new();
        self.hash(&mut hasher);
        hasher.finish().is_multiple_of(SAMPLE)
    }

    fn newest(&self) -> u64 {
        let steps = self.ranks.iter().filter_map(|r| r.state().position);
        steps.map(|position| position.step).max().unwrap_or(0)
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
                    if let Some(next) = pending {
                        let word = if next.committed { "commit" } else { "armed" };
                        write!(f, " {word} {}@{}", next.map, next.at)?;
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

/// What a search found.
pub(crate) struct Found {
    pub(crate) states: usize,
    /// Shortest way to a state that breaks an invariant.
    pub(crate) trace: Option<Vec<Group>>,
}

/// Explores all states within bounds, breadth first, until one breaks an invariant.
pub(crate) fn explore(bounds: Bounds, fault: Fault) -> Found {
    let start = Group::new(bounds);
    let seen = RefCell::new(0);
    let bad = |group: &Group| {
        *seen.borrow_mut() += 1;
        group.broken || (fault == Fault::None && group.sampled() && !group.recovers())
    };
    let next = |group: &Group| {
        let unique: HashSet<Group> = group.successors(fault).into_iter().collect();
        let mut unique: Vec<Group> = unique.into_iter().collect();
        unique.sort_by_cached_key(ToString::to_string);
        unique
    };
    let trace = bfs(&start, next, bad);
    Found {
        states: seen.into_inner(),
        trace,
    }
}
