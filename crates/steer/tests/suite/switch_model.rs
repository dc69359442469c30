//! Model checks the change of a map, with orders that are lost, repeated or late, a leader that
//! restarts at any moment or stops responding, a standby that completes its change, and a group that
//! forms again.

use std::{
    hash::{Hash, Hasher},
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Duration,
};

use expert::Placement;
use pathfinding::directed::bfs::{bfs, bfs_reach};
use steer::{
    Decision, Epoch, Group, Order, Pass, Phase, Report, Sample, Status, Switch, Takeover, Version,
    digest,
};
use tokio::time::Instant;

/// Number of ranks in the group.
const RANKS: usize = 2;
/// Number of passes that are explored without a standby.
const PASSES: Pass = 5;
/// Number of passes that are explored with a standby, which multiplies the states.
const STANDBY_PASSES: Pass = 4;
/// Maximum number of orders in flight to one rank.
const MAX_IN_FLIGHT: usize = 2;
/// Maximum number of restarts of the leader or its standby.
const MAX_RESTARTS: u8 = 1;
/// Address of every engine; nothing is sent to it.
const ENGINE: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1);
/// Number of passes that a held pass is ahead of the current one.
const HOLD_LEAD: Pass = 1;

/// Faults that are injected to show that the exploration detects them.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Fault {
    None,
    /// The leader assumes that every rank is armed.
    SkipsArmed,
    /// The leader assumes that the pass is held.
    SkipsHeld,
    /// The leader assumes that the prepared map is the right one.
    SkipsDigest,
    /// Engines carry out orders of an earlier epoch.
    IgnoresEpoch,
    /// A leader that restarted ignores what its standby knows, and when the standby reported it.
    ForgetsStandby,
    /// The standby assumes that every rank is armed.
    StandbySkipsArmed,
}

/// Engine of a rank; maps are pairs of a version and a digest.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
struct Rank {
    map: (Version, u64),
    prepared: Option<(Version, u64)>,
    armed: Option<(Version, Pass)>,
    held: Option<Pass>,
    /// Highest version that was prepared.
    highest: Version,
    /// Orders in flight to the engine.
    in_flight: Vec<(Epoch, Order)>,
}

#[derive(Clone, Debug)]
struct State {
    fault: Fault,
    started_at: Instant,
    /// Number of steps from the initial state; used as the time, so that no order counts as repeated.
    steps: u32,
    /// Number of passes to explore.
    passes: Pass,
    epoch: Epoch,
    /// Pass that the group began last.
    pass: Pass,
    ranks: Vec<Rank>,
    switch: Switch,
    /// Last status of each rank at the leader.
    last_statuses: Vec<Option<Status>>,
    /// Epoch that the leader knows.
    leader_epoch: Epoch,
    /// Numbers of passes that the leader may choose for the lead of a hold.
    hold_leads: &'static [Pass],
    /// Highest pass that a hold may have named, as the leader knows; only with several leads, since it
    /// then does not follow from the rest of the state.
    highest_hold: Option<Pass>,
    /// Whether the standby acts; it may do so at any moment, also at the same time as the leader.
    standby_acts: bool,
    /// Takeover of the decision that the standby, the agent of the second rank, knows.
    standby: Option<Takeover>,
    /// Number of changes that were started.
    starts: u8,
    /// Number of restarts of the leader or its standby.
    restarts: u8,
    /// Number of times that the group formed again.
    regroups: u8,
    /// Whether ranks ran a pass with different maps.
    mixed: bool,
}

impl State {
    fn new(fault: Fault) -> Self {
        Self {
            fault,
            started_at: Instant::now(),
            steps: 0,
            passes: PASSES,
            epoch: 1,
            pass: 0,
            ranks: vec![Rank::default(); RANKS],
            switch: Switch::new(RANKS).max_hold_lead(HOLD_LEAD),
            last_statuses: vec![None; RANKS],
            leader_epoch: 1,
            hold_leads: &[HOLD_LEAD],
            highest_hold: None,
            standby_acts: false,
            standby: None,
            starts: 0,
            restarts: 0,
            regroups: 0,
            mixed: false,
        }
    }

    fn key(&self) -> impl Hash + Eq + '_ {
        let counts = (self.starts, self.restarts, self.regroups, self.mixed);
        let position = (self.epoch, self.leader_epoch, self.pass);
        (
            position,
            &self.ranks,
            self.switch.phase(),
            &self.last_statuses,
            &self.standby,
            (counts, self.highest_hold),
        )
    }

    /// Returns the status that a rank's agent reports.
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
            counts: Sample::default(),
            list: None,
        }
    }

    /// Delivers a rank's report and puts the order in the answer in flight.
    fn poll(&self, index: usize) -> Self {
        self.poll_with_lead(index, self.hold_leads[0])
    }

    fn poll_with_lead(&self, index: usize, hold_lead: Pass) -> Self {
        let mut next = self.deliver_report(index, hold_lead);
        if index == 1 {
            next.instruct_standby();
        }
        let now = next.started_at + Duration::from_secs(next.steps.into());
        if let Some(order) = next.switch.next_order(index, now) {
            next.send(index, order);
        }
        next
    }

    /// Delivers a rank's report and loses the answer.
    fn deliver_report(&self, index: usize, hold_lead: Pass) -> Self {
        let mut next = self.step();
        if next.leader_epoch < next.epoch {
            next.leader_epoch = next.epoch;
            next.reset_leader();
        }
        let mut status = next.status(index);
        next.inject_fault(&mut status, index);
        next.last_statuses[index] = Some(status.clone());
        next.switch.record_status(index, status, next.started_at);
        if let (Fault::ForgetsStandby, 1, Some(old)) = (self.fault, index, &self.last_statuses[0]) {
            next.switch.record_status(0, old.clone(), next.started_at);
        }
        if index == 0 {
            next.switch.advance(hold_lead, next.started_at);
            if let [_, max_lead] = self.hold_leads {
                let highest = *next.highest_hold.get_or_insert(next.pass + max_lead);
                if let Phase::Holding { pass } = next.switch.phase() {
                    next.highest_hold = Some(highest.max(*pass));
                }
            }
        }
        next
    }

    fn send(&mut self, index: usize, order: Order) {
        let sent = (self.epoch, order);
        let in_flight = &mut self.ranks[index].in_flight;
        if in_flight.len() < MAX_IN_FLIGHT && !in_flight.contains(&sent) {
            in_flight.push(sent);
        }
    }

    /// Replaces the decision that the standby knows with the leader's current one.
    fn instruct_standby(&mut self) {
        let decided = self.switch.decided();
        let decision = decided.map(|version| Decision {
            epoch: self.epoch,
            version,
            engines: vec![ENGINE; RANKS],
        });
        let known = self.standby.as_ref().map(Takeover::decision);
        if known != decision.as_ref() {
            self.standby = decision.map(Takeover::new);
        }
    }

    /// Lets the standby read an engine's report and send the order that follows from it.
    fn take_over(&self, index: usize) -> Option<Self> {
        let mut next = self.step();
        let mut report = next.report(index);
        let standby = next.standby.as_mut().filter(|_| self.standby_acts)?;
        if self.fault == Fault::StandbySkipsArmed {
            report.armed = Some(standby.decision().version);
        }
        standby.record_report(index, &report);
        if let Some(order) = standby.next_order(index) {
            next.send(index, order);
        }
        Some(next)
    }

    /// Returns the map version of the decision that a rank's agent knows.
    fn decided(&self, index: usize) -> Option<Version> {
        let standby = self.standby.as_ref().filter(|_| index == 1)?;
        Some(standby.decision().version)
    }

    /// Returns the report of a rank's engine.
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

    /// Changes a status such that the leader acts as with the fault.
    fn inject_fault(&self, status: &mut Status, index: usize) {
        match (self.fault, self.switch.phase()) {
            (Fault::SkipsArmed, Phase::Arming { version, .. }) => status.armed = Some(*version),
            (Fault::SkipsHeld, Phase::Holding { pass }) if index == 0 => status.held = Some(*pass),
            (Fault::SkipsDigest, Phase::Preparing) => {
                status.digest = Some(list_digest(&placement(self.starts), index));
            }
            (Fault::ForgetsStandby, Phase::Idle) => status.decided = None,
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
        // The fault shows only if two maps have the same version.
        let version = match self.fault {
            Fault::SkipsDigest => 1,
            _ => next.switch.next_version() + Version::from(next.starts),
        };
        next.switch
            .start(version, placement(next.starts), next.started_at);
        next
    }

    /// Restarts the leader, which loses its state.
    fn restart(&self) -> Self {
        let mut next = self.step();
        next.restarts += 1;
        next.reset_leader();
        next
    }

    fn reset_leader(&mut self) {
        self.highest_hold = None;
        let max_hold_lead = self.hold_leads.iter().copied().fold(0, Pass::max);
        self.switch = Switch::new(RANKS).max_hold_lead(max_hold_lead);
        self.last_statuses = vec![None; RANKS];
    }

    /// Lets the group form again, with map 0 and orders of the earlier epoch in flight.
    fn form_again(&self) -> Self {
        let mut next = self.step();
        next.regroups += 1;
        next.epoch += 1;
        for rank in &mut next.ranks {
            let in_flight = std::mem::take(&mut rank.in_flight);
            *rank = Rank {
                in_flight,
                ..Rank::default()
            };
        }
        next
    }

    /// Delivers an order in flight to its engine.
    fn deliver(&self, index: usize, position: usize) -> Self {
        let mut next = self.step();
        let (epoch, order) = next.ranks[index].in_flight.remove(position);
        if epoch == next.epoch || self.fault == Fault::IgnoresEpoch {
            let pass = next.pass;
            next.ranks[index].apply(&order, index, pass);
        }
        next
    }

    /// Begins the next pass, unless a rank holds it.
    fn begin_pass(&self) -> Option<Self> {
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
        // Ranks hold different experts of a placement, so compare which change the experts belong to.
        let contents = next
            .ranks
            .iter()
            .enumerate()
            .map(|(index, rank)| map_content(rank.map, index));
        let contents: Vec<_> = contents.collect();
        next.mixed = contents.iter().any(|content| *content != contents[0]);
        Some(next)
    }

    fn successors(&self) -> Vec<Self> {
        if self.mixed {
            return Vec::new();
        }
        let mut all: Vec<Self> = (0..RANKS).map(|index| self.poll(index)).collect();
        // Only reports of the first rank lead to a hold.
        for lead in &self.hold_leads[1..] {
            all.push(self.poll_with_lead(0, *lead));
        }
        for (index, rank) in self.ranks.iter().enumerate() {
            for position in 0..rank.in_flight.len() {
                all.push(self.deliver(index, position));
                // A copy stays in flight: the answer was lost, or the order is sent again.
                let mut repeated = self.deliver(index, position);
                let order = rank.in_flight[position].clone();
                repeated.ranks[index].in_flight.push(order);
                all.push(repeated);
            }
        }
        all.extend(self.begin_pass());
        all.extend((0..RANKS).filter_map(|index| self.take_over(index)));
        if self.starts < 2 && self.switch.can_start() {
            all.push(self.start());
        }
        if self.restarts < MAX_RESTARTS {
            all.push(self.restart());
        }
        if self.standby.is_some() && self.standby_acts {
            all.push(self.deliver_report(1, self.hold_leads[0]));
        }
        if self.standby_acts && self.restarts < MAX_RESTARTS {
            let mut next = self.step();
            next.restarts += 1;
            next.standby = None;
            all.push(next);
        }
        if self.regroups < 1 && self.fault == Fault::IgnoresEpoch {
            all.push(self.form_again());
        }
        all
    }
}

impl Rank {
    /// Carries out an order, or ignores it, by the rules that engines follow.
    fn apply(&mut self, order: &Order, index: usize, pass: Pass) {
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

impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl Eq for State {}

impl Hash for State {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.key().hash(hasher);
    }
}

/// Returns the placement of the change with this number.
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

/// Returns the version of a map and the number of the change that its experts belong to.
fn map_content(map: (Version, u64), rank: usize) -> (Version, Option<u8>) {
    let start = (1..=2).find(|start| list_digest(&placement(*start), rank) == map.1);
    (map.0, start)
}

/// Returns an initial state in which a standby may complete what the leader has decided.
fn with_standby(fault: Fault) -> State {
    State {
        standby_acts: true,
        passes: STANDBY_PASSES,
        ..State::new(fault)
    }
}

fn explore(fault: Fault) -> Option<Vec<State>> {
    let needs_standby = matches!(fault, Fault::ForgetsStandby | Fault::StandbySkipsArmed);
    let start = if needs_standby {
        with_standby(fault)
    } else {
        State::new(fault)
    };
    bfs(&start, State::successors, |state| state.mixed)
}

#[tokio::test(start_paused = true)]
async fn maps_never_mixed() {
    let mut states = 0;
    let mut switched = 0;
    for state in bfs_reach(State::new(Fault::None), State::successors) {
        states += 1;
        assert!(!state.mixed, "{state:?}");
        let same = state
            .ranks
            .iter()
            .all(|rank| rank.map.0 == state.ranks[0].map.0);
        switched += usize::from(same && state.ranks[0].map.0 > 0);
    }
    println!("{states} states, {switched} of them on another map");
    assert!(switched > 0, "no state is on another map");
}

#[tokio::test(start_paused = true)]
async fn regroup_never_mixes() {
    let mut state = State::new(Fault::None);
    // The group forms again once, while orders of the earlier epoch are still in flight.
    let start = state.start();
    let polled = start.poll(0).poll(1);
    state = polled.form_again();
    let reach = bfs_reach(state, State::successors);
    let mut states = 0;
    for state in reach {
        states += 1;
        assert!(!state.mixed, "{state:?}");
    }
    println!("{states} states after the group formed again");
}

#[tokio::test(start_paused = true)]
async fn standby_never_mixes() {
    let mut states = 0;
    for state in bfs_reach(with_standby(Fault::None), State::successors) {
        states += 1;
        assert!(!state.mixed, "{state:?}");
    }
    println!("{states} states with a standby");
}

/// The lead of a hold may differ between switches, as that of a first response does.
#[tokio::test(start_paused = true)]
async fn varied_lead_never_mixes() {
    let mut start = State {
        hold_leads: &[1, 2],
        ..State::new(Fault::None)
    };
    start.reset_leader();
    let mut states = 0;
    let mut switched = 0;
    for state in bfs_reach(start, State::successors) {
        states += 1;
        assert!(!state.mixed, "{state:?}");
        switched += usize::from(state.ranks.iter().all(|rank| rank.map.0 > 0));
    }
    println!("{states} states with leads of one and two passes");
    assert!(switched > 0, "no state is on another map");
}

/// A standby alone, without the leader, releases a held pass by completing the decided change.
#[tokio::test(start_paused = true)]
async fn standby_releases_pass() {
    let reachable = bfs_reach(with_standby(Fault::None), State::successors);
    let decided = reachable
        .filter(|state| state.standby.is_some() && state.ranks[0].held.is_some())
        .step_by(97)
        .take(300);
    let mut count = 0;
    for state in decided {
        count += 1;
        let standby_only = |state: &State| {
            let ranks = 0..RANKS;
            let mut next: Vec<State> = ranks
                .clone()
                .filter_map(|index| state.take_over(index))
                .collect();
            for index in ranks {
                let in_flight = 0..state.ranks[index].in_flight.len();
                next.extend(in_flight.map(|position| state.deliver(index, position)));
            }
            next
        };
        let released = bfs(&state, standby_only, |state| state.ranks[0].held.is_none());
        assert!(released.is_some(), "{state:?}");
    }
    println!("{count} decided states");
    assert!(count > 0);
}

#[tokio::test(start_paused = true)]
async fn injected_faults_detected() {
    for fault in [
        Fault::SkipsArmed,
        Fault::SkipsHeld,
        Fault::SkipsDigest,
        Fault::IgnoresEpoch,
        Fault::ForgetsStandby,
        Fault::StandbySkipsArmed,
    ] {
        let path = explore(fault).unwrap_or_else(|| panic!("{fault:?} is not detected"));
        println!("{fault:?}: {} steps to a mixed pass", path.len() - 1);
    }
}

/// After a restart of the leader in any state, reports and deliveries alone release a held pass.
#[tokio::test(start_paused = true)]
async fn restarted_leader_releases() {
    let held = bfs_reach(State::new(Fault::None), State::successors)
        .filter(|state| state.restarts > 0 && state.ranks[0].held.is_some())
        .step_by(97)
        .take(300);
    for state in held {
        let leader_only = |state: &State| {
            let mut next: Vec<State> = (0..RANKS).map(|index| state.poll(index)).collect();
            for (index, rank) in state.ranks.iter().enumerate() {
                next.extend(
                    (0..rank.in_flight.len()).map(|position| state.deliver(index, position)),
                );
            }
            next
        };
        let released = bfs(&state, leader_only, |state| state.ranks[0].held.is_none());
        assert!(released.is_some(), "{state:?}");
    }
}
