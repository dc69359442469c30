//! Explores the switch of a map with orders that are lost, repeated or late, a leader that restarts at
//! any moment or falls silent, a deputy that completes its change, and a group that breaks.

use std::{
    hash::{Hash, Hasher},
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Duration,
};

use expert::Placement;
use pathfinding::directed::bfs::{bfs, bfs_reach};
use steer::{
    Decision, Epoch, Finish, Group, Order, Pass, Phase, Report, Sample, Status, Switch, Version,
    digest,
};
use tokio::time::Instant;

/// Ranks of the group.
const RANKS: usize = 2;
/// Passes that are explored, and with a deputy, which makes for more states.
const PASSES: (Pass, Pass) = (5, 4);
/// Orders that are under way to one rank at most.
const FLIGHT: usize = 2;
/// Restarts of the leader or its deputy that are explored.
const RESTARTS: u8 = 1;
/// Address of an engine; nothing is sent to it here.
const ENGINE: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1);
/// Passes that a hold is ahead.
const MARGIN: Pass = 1;

/// Ways in which the leader is made to err, to show that the exploration notices.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Fault {
    None,
    /// The leader takes every rank for armed.
    SkipsArmed,
    /// The leader takes the pass for held.
    SkipsHeld,
    /// The leader takes what was prepared for the right map.
    SkipsDigest,
    /// Engines take orders of an earlier life of the group.
    IgnoresEpoch,
    /// A leader that restarted takes no account of what its deputy knows, and when it knew it.
    ForgetsDeputy,
    /// The deputy takes every rank for armed.
    DeputySkipsArmed,
}

#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
struct Rank {
    map: (Version, u64),
    prepared: Option<(Version, u64)>,
    armed: Option<(Version, Pass)>,
    held: Option<Pass>,
    highest: Version,
    flight: Vec<(Epoch, Order)>,
}

#[derive(Clone, Debug)]
struct World {
    fault: Fault,
    base: Instant,
    steps: u32,
    passes: Pass,
    epoch: Epoch,
    pass: Pass,
    ranks: Vec<Rank>,
    switch: Switch,
    /// What the leader was told by each rank.
    told: Vec<Option<Status>>,
    led: Epoch,
    /// Whether the deputy acts; it may do so at any moment, also beside the leader.
    deputies: bool,
    /// What the deputy, beside the second rank, knows of a decision.
    deputy: Option<Finish>,
    starts: u8,
    restarts: u8,
    breaks: u8,
    mixed: bool,
}

impl World {
    fn new(fault: Fault) -> Self {
        Self {
            fault,
            base: Instant::now(),
            steps: 0,
            passes: PASSES.0,
            epoch: 1,
            pass: 0,
            ranks: vec![Rank::default(); RANKS],
            switch: Switch::new(RANKS).ahead(MARGIN),
            told: vec![None; RANKS],
            led: 1,
            deputies: false,
            deputy: None,
            starts: 0,
            restarts: 0,
            breaks: 0,
            mixed: false,
        }
    }

    fn key(&self) -> impl Hash + Eq + '_ {
        let counts = (self.starts, self.restarts, self.breaks, self.mixed);
        let place = (self.epoch, self.led, self.pass);
        (
            place,
            &self.ranks,
            self.switch.phase(),
            &self.told,
            &self.deputy,
            counts,
        )
    }

    /// Reads the state of a rank as its engine reports it.
    fn status(&self, index: usize) -> Status {
        let rank = &self.ranks[index];
        Status {
            engine: ENGINE,
            epoch: self.epoch,
            ranks: RANKS,
            open: true,
            pass: self.pass,
            map: rank.map.0,
            prepared: rank.prepared.map(|(version, _)| version),
            digest: rank.prepared.map(|(_, digest)| digest),
            armed: rank.armed.map(|(version, _)| version),
            held: rank.held,
            busy: false,
            decided: self.decided(index),
            refused: None,
            fresh: Sample::default(),
            list: None,
        }
    }

    /// Lets a rank's agent report, and sends the order that comes back on its way.
    fn poll(&self, index: usize) -> Self {
        let mut next = self.report_in(index);
        if index == 1 {
            next.instruct_deputy();
        }
        let now = next.base + Duration::from_secs(next.steps.into());
        if let Some(order) = next.switch.order(index, now) {
            next.send(index, order);
        }
        next
    }

    /// Lets a rank's agent report, without an answer.
    fn report_in(&self, index: usize) -> Self {
        let mut next = self.step();
        if next.led < next.epoch {
            next.led = next.epoch;
            next.forget();
        }
        let mut status = next.status(index);
        next.err(&mut status, index);
        next.told[index] = Some(status.clone());
        next.switch.tell(index, status, next.base);
        if let (Fault::ForgetsDeputy, 1, Some(old)) = (self.fault, index, &self.told[0]) {
            next.switch.tell(0, old.clone(), next.base);
        }
        if index == 0 {
            next.switch.advance(MARGIN, next.base);
        }
        next
    }

    fn send(&mut self, index: usize, order: Order) {
        let sent = (self.epoch, order);
        let flight = &mut self.ranks[index].flight;
        if flight.len() < FLIGHT && !flight.contains(&sent) {
            flight.push(sent);
        }
    }

    /// Tells the deputy which change is decided, in place of what it was told before.
    fn instruct_deputy(&mut self) {
        let decided = self.switch.decided();
        let decision = decided.map(|version| Decision {
            epoch: self.epoch,
            version,
            engines: vec![ENGINE; RANKS],
        });
        let known = self.deputy.as_ref().map(Finish::decision);
        if known != decision.as_ref() {
            self.deputy = decision.map(Finish::new);
        }
    }

    /// Lets the deputy look at an engine and give the order that it needs.
    fn rescue(&self, index: usize) -> Option<Self> {
        let mut next = self.step();
        let mut report = next.report(index);
        let deputy = next.deputy.as_mut().filter(|_| self.deputies)?;
        if self.fault == Fault::DeputySkipsArmed {
            report.armed = Some(deputy.decision().version);
        }
        deputy.tell(index, &report);
        if let Some(order) = deputy.order(index) {
            next.send(index, order);
        }
        Some(next)
    }

    /// Returns the map of the decision that a rank's agent knows.
    fn decided(&self, index: usize) -> Option<Version> {
        let deputy = self.deputy.as_ref().filter(|_| index == 1)?;
        Some(deputy.decision().version)
    }

    /// Reads the state of a rank as another machine does.
    fn report(&self, index: usize) -> Report {
        let status = self.status(index);
        Report {
            group: Some(Group {
                name: "g".into(),
                epoch: status.epoch,
                rank: index,
                open: true,
                size: RANKS,
            }),
            pass: status.pass,
            map: status.map,
            prepared: status.prepared,
            armed: status.armed,
            held: status.held,
            busy: false,
        }
    }

    /// Makes the leader err as the fault says.
    fn err(&self, status: &mut Status, index: usize) {
        match (self.fault, self.switch.phase()) {
            (Fault::SkipsArmed, Phase::Arming { version, .. }) => status.armed = Some(*version),
            (Fault::SkipsHeld, Phase::Holding { pass }) if index == 0 => status.held = Some(*pass),
            (Fault::SkipsDigest, Phase::Preparing) => {
                status.digest = Some(list_digest(&placement(self.starts), index));
            }
            (Fault::ForgetsDeputy, Phase::Idle) => status.decided = None,
            _ => {}
        }
    }

    fn step(&self) -> Self {
        let mut next = self.clone();
        next.steps += 1;
        next
    }

    fn start(&self) -> Self {
        let mut next = self.step();
        next.starts += 1;
        // Without the digest, a version may be given to two maps.
        let version = match self.fault {
            Fault::SkipsDigest => 1,
            _ => next.switch.free_version() + Version::from(next.starts),
        };
        next.switch
            .start(version, placement(next.starts), next.base);
        next
    }

    /// Restarts the leader, which forgets everything.
    fn restart(&self) -> Self {
        let mut next = self.step();
        next.restarts += 1;
        next.forget();
        next
    }

    fn forget(&mut self) {
        self.switch = Switch::new(RANKS).ahead(MARGIN);
        self.told = vec![None; RANKS];
    }

    /// Breaks the group, which forms anew with map 0.
    fn break_up(&self) -> Self {
        let mut next = self.step();
        next.breaks += 1;
        next.epoch += 1;
        for rank in &mut next.ranks {
            let flight = std::mem::take(&mut rank.flight);
            *rank = Rank {
                flight,
                ..Rank::default()
            };
        }
        next
    }

    /// Carries out an order that was on its way.
    fn deliver(&self, index: usize, position: usize) -> Self {
        let mut next = self.step();
        let (epoch, order) = next.ranks[index].flight.remove(position);
        if epoch == next.epoch || self.fault == Fault::IgnoresEpoch {
            let pass = next.pass;
            next.ranks[index].take(&order, index, pass);
        }
        next
    }

    /// Begins the next pass, unless a rank holds it.
    fn pass(&self) -> Option<Self> {
        let begun = self.pass + 1;
        if begun > self.passes || self.ranks.iter().any(|rank| rank.held == Some(begun)) {
            return None;
        }
        let mut next = self.step();
        next.pass = begun;
        for rank in &mut next.ranks {
            if rank.armed.is_some_and(|(_, pass)| pass == begun) {
                rank.armed = None;
                rank.map = rank.prepared.take().unwrap_or_default();
            }
        }
        // A placement differs between ranks, so that contents are compared by the switch they belong to.
        let contents = next
            .ranks
            .iter()
            .enumerate()
            .map(|(index, rank)| content(rank.map, index));
        let contents: Vec<_> = contents.collect();
        next.mixed = contents.iter().any(|content| *content != contents[0]);
        Some(next)
    }

    fn successors(&self) -> Vec<Self> {
        if self.mixed {
            return Vec::new();
        }
        let mut all: Vec<Self> = (0..RANKS).map(|index| self.poll(index)).collect();
        for (index, rank) in self.ranks.iter().enumerate() {
            for position in 0..rank.flight.len() {
                all.push(self.deliver(index, position));
                // A copy stays on its way: the answer was lost, or the order is given again.
                let mut kept = self.deliver(index, position);
                let order = rank.flight[position].clone();
                kept.ranks[index].flight.push(order);
                all.push(kept);
            }
        }
        all.extend(self.pass());
        all.extend((0..RANKS).filter_map(|index| self.rescue(index)));
        if self.starts < 2 && self.switch.is_quiet() {
            all.push(self.start());
        }
        if self.restarts < RESTARTS {
            all.push(self.restart());
        }
        if self.deputy.is_some() && self.deputies {
            all.push(self.report_in(1));
        }
        if self.deputies && self.restarts < RESTARTS {
            let mut next = self.step();
            next.restarts += 1;
            next.deputy = None;
            all.push(next);
        }
        if self.breaks < 1 && self.fault == Fault::IgnoresEpoch {
            all.push(self.break_up());
        }
        all
    }
}

impl Rank {
    /// Takes an order as the engines' page says.
    fn take(&mut self, order: &Order, index: usize, pass: Pass) {
        match order {
            Order::Prepare { version, placement } => {
                if *version > self.highest && self.armed.is_none() {
                    self.highest = *version;
                    self.prepared = Some((*version, list_digest(placement, index)));
                }
            }
            Order::Arm { version, pass: at } => {
                if self.prepared.is_some_and(|(known, _)| known == *version) && *at > pass {
                    self.armed = Some((*version, *at));
                }
            }
            Order::Hold { pass: at } => {
                if *at > pass && self.held.is_none() {
                    self.held = Some(*at);
                }
            }
            Order::Go { pass: at } => {
                if self.held == Some(*at) {
                    self.held = None;
                }
            }
        }
    }
}

impl PartialEq for World {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl Eq for World {}

impl Hash for World {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.key().hash(state);
    }
}

/// Placement of the switch with a number.
fn placement(start: u8) -> Placement {
    let start = u16::from(start);
    vec![
        (0..RANKS as u16)
            .map(|rank| vec![rank, 10 + start])
            .collect(),
    ]
}

fn list_digest(placement: &Placement, rank: usize) -> u64 {
    digest(placement.iter().map(|set| &set[rank]))
}

/// Returns the version of a map and the switch that its content belongs to.
fn content(map: (Version, u64), rank: usize) -> (Version, Option<u8>) {
    let start = (1..=2).find(|start| list_digest(&placement(*start), rank) == map.1);
    (map.0, start)
}

/// A world in which a deputy may complete what the leader has decided.
fn with_deputy(fault: Fault) -> World {
    World {
        deputies: true,
        passes: PASSES.1,
        ..World::new(fault)
    }
}

fn explore(fault: Fault) -> Option<Vec<World>> {
    let deputies = matches!(fault, Fault::ForgetsDeputy | Fault::DeputySkipsArmed);
    let start = if deputies {
        with_deputy(fault)
    } else {
        World::new(fault)
    };
    bfs(&start, World::successors, |world| world.mixed)
}

#[tokio::test(start_paused = true)]
async fn never_mixed() {
    let mut states = 0;
    let mut switched = 0;
    for world in bfs_reach(World::new(Fault::None), World::successors) {
        states += 1;
        assert!(!world.mixed, "{world:?}");
        let same = world
            .ranks
            .iter()
            .all(|rank| rank.map.0 == world.ranks[0].map.0);
        switched += usize::from(same && world.ranks[0].map.0 > 0);
    }
    println!("{states} states, {switched} of them on another map");
    assert!(switched > 0, "the switch is reached at all");
}

#[tokio::test(start_paused = true)]
async fn never_mixed_after_break() {
    let mut world = World::new(Fault::None);
    // A group that breaks once: its orders are still on their way in the next life.
    let start = world.start();
    let polled = start.poll(0).poll(1);
    world = polled.break_up();
    let reach = bfs_reach(world, World::successors);
    let mut states = 0;
    for world in reach {
        states += 1;
        assert!(!world.mixed, "{world:?}");
    }
    println!("{states} states after a break");
}

#[tokio::test(start_paused = true)]
async fn never_mixed_with_deputy() {
    let mut states = 0;
    for world in bfs_reach(with_deputy(Fault::None), World::successors) {
        states += 1;
        assert!(!world.mixed, "{world:?}");
    }
    println!("{states} states with a deputy");
}

/// A held pass whose change is decided is released without the leader: the deputy completes it.
#[tokio::test(start_paused = true)]
async fn released_by_deputy() {
    let worlds = bfs_reach(with_deputy(Fault::None), World::successors);
    let decided = worlds
        .filter(|world| world.deputy.is_some() && world.ranks[0].held.is_some())
        .step_by(97)
        .take(300);
    let mut count = 0;
    for world in decided {
        count += 1;
        let silent = |world: &World| {
            let ranks = 0..RANKS;
            let mut next: Vec<World> = ranks
                .clone()
                .filter_map(|index| world.rescue(index))
                .collect();
            for index in ranks {
                let flight = 0..world.ranks[index].flight.len();
                next.extend(flight.map(|position| world.deliver(index, position)));
            }
            next
        };
        let released = bfs(&world, silent, |world| world.ranks[0].held.is_none());
        assert!(released.is_some(), "{world:?}");
    }
    println!("{count} decided states");
    assert!(count > 0);
}

#[tokio::test(start_paused = true)]
async fn seeded_faults_found() {
    for fault in [
        Fault::SkipsArmed,
        Fault::SkipsHeld,
        Fault::SkipsDigest,
        Fault::IgnoresEpoch,
        Fault::ForgetsDeputy,
        Fault::DeputySkipsArmed,
    ] {
        let path = explore(fault).unwrap_or_else(|| panic!("{fault:?} is not found"));
        println!("{fault:?}: {} steps to a mixed pass", path.len() - 1);
    }
}

/// A held pass is always released: from wherever a leader restarted, polls and deliveries alone get
/// the group on.
#[tokio::test(start_paused = true)]
async fn held_pass_released() {
    let held = bfs_reach(World::new(Fault::None), World::successors)
        .filter(|world| world.restarts > 0 && world.ranks[0].held.is_some())
        .step_by(97)
        .take(300);
    for world in held {
        let calm = |world: &World| {
            let mut next: Vec<World> = (0..RANKS).map(|index| world.poll(index)).collect();
            for (index, rank) in world.ranks.iter().enumerate() {
                next.extend((0..rank.flight.len()).map(|position| world.deliver(index, position)));
            }
            next
        };
        let released = bfs(&world, calm, |world| world.ranks[0].held.is_none());
        assert!(released.is_some(), "{world:?}");
    }
}
