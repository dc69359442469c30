use conf::id;
use wire::{Map, Step};

use crate::{Command, Fence, Order, Position, Report, State};

/// Number of steps between the newest reported step and the first step of a new map, in the first attempt.
const INITIAL_MARGIN_STEPS: Step = 4;
/// Maximum of the margin, in steps; each failed attempt doubles the margin up to this.
const MAX_MARGIN_STEPS: Step = 64;

/// Index of a member of the group: an agent and the engine beside it.
pub type Member = usize;

/// Action that the agent which runs a leader must take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send an order to a member.
    Send(Member, Order),
    /// The switch to this map is committed: all members use it, or will from a known step on.
    Switched(Map),
    /// All members step with the group, and no switch is pending or requested.
    Steady,
}

/// Phase of a round, by what the leader waits for.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Phase {
    /// The start of the next round.
    Idle,
    /// The states of all members.
    Query,
    /// The states of all members once more, from the same incarnations of their agents.
    ///
    /// An agent that restarts forgets the highest fencing token. Only after the second query is it
    /// certain that there was a moment at which all agents refused the orders of earlier rounds.
    Confirm,
    /// The answers to the orders that finish or undo an earlier switch or let cold members join.
    Recover,
    /// All members to load the weights of a map.
    Prepare(Map),
    /// All members to hold before the first step of a map.
    Arm(Map),
    /// All members to record that a map is committed.
    Commit(Map),
}

/// Coordinates the map switches of a group by two-phase commit.
///
/// The state machine does no I/O: the agent that runs it sends the orders, delivers the reports and
/// starts a round after a timeout.
///
/// Each round starts by querying all members twice under a higher fencing token, after which
/// members refuse every order sent before. The round then acts on these reports alone. A refusal or
/// a timeout ends the round, and the next round finishes or undoes what it left.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Leader {
    fence: Fence,
    switch_requested: bool,
    margin: Step,
    phase: Phase,
    reports: Vec<Option<Report>>,
    /// Command that each member has yet to answer.
    outstanding: Vec<Option<Command>>,
}

impl Leader {
    /// Creates an idle leader of a number of members whose states are unknown.
    #[must_use]
    pub fn new(version: conf::Number, incarnation: id::Incarnation, members: usize) -> Self {
        Self {
            fence: Fence::new(version, incarnation),
            switch_requested: false,
            margin: INITIAL_MARGIN_STEPS,
            phase: Phase::Idle,
            reports: vec![None; members],
            outstanding: vec![None; members],
        }
    }

    /// Sets the steps, at least 1, between the newest reported step and the first step of a new
    /// map.
    #[must_use]
    pub fn margin(mut self, steps: Step) -> Self {
        self.margin = steps.max(1);
        self
    }

    /// Requests a switch to a new map, whose number the leader chooses.
    pub fn request_switch(&mut self) {
        self.switch_requested = true;
    }

    /// Returns whether a switch was requested and is not committed yet.
    #[must_use]
    pub fn switch_requested(&self) -> bool {
        self.switch_requested
    }

    /// Returns the fencing token of the current round.
    #[must_use]
    pub fn fence(&self) -> Fence {
        self.fence
    }

    /// Returns whether a round is in progress.
    #[must_use]
    pub fn is_in_round(&self) -> bool {
        self.phase != Phase::Idle
    }

    /// Returns the state of a member as last reported in the latest round, `None` if it has not
    /// reported.
    #[must_use]
    pub fn state(&self, member: Member) -> Option<State> {
        self.reports.get(member)?.map(|report| report.state)
    }

    /// Starts a round and ends the one in progress, if any; also to be called after a timeout.
    pub fn begin_round(&mut self) -> Vec<Action> {
        if matches!(self.phase, Phase::Arm(_)) {
            self.margin = (self.margin * 2).min(MAX_MARGIN_STEPS.max(self.margin));
        }
        self.fence = self.fence.next_after(self.fence);
        self.reports.fill(None);
        self.phase = Phase::Query;
        let members = 0..self.reports.len();
        self.send(members.map(|member| (member, Command::Query)).collect())
    }

    /// Handles a member's report; ignores one that answers no outstanding order of this round.
    pub fn report(&mut self, member: Member, report: Report) -> Vec<Action> {
        if report.highest > self.fence {
            return self.yield_to(report.highest);
        }
        let expected = self.outstanding.get(member).copied().flatten();
        if report.fence != self.fence || expected != Some(report.command) {
            return Vec::new();
        }
        if !report.done {
            return self.end_round();
        }
        self.outstanding[member] = None;
        self.reports[member] = Some(report);
        if self.outstanding.iter().any(Option::is_some) {
            return Vec::new();
        }
        self.advance()
    }

    /// Ends the round because a member has received a higher fencing token.
    ///
    /// The next round's token exceeds it if both belong to the same version of the configuration.
    fn yield_to(&mut self, highest: Fence) -> Vec<Action> {
        self.fence = Fence {
            round: self.fence.next_after(highest).round - 1,
            ..self.fence
        };
        self.end_round()
    }

    fn end_round(&mut self) -> Vec<Action> {
        if matches!(self.phase, Phase::Arm(_)) {
            self.margin = (self.margin * 2).min(MAX_MARGIN_STEPS.max(self.margin));
        }
        self.phase = Phase::Idle;
        self.outstanding.fill(None);
        Vec::new()
    }

    /// Enters the next phase; called once all outstanding orders are answered.
    fn advance(&mut self) -> Vec<Action> {
        match self.phase {
            Phase::Idle => Vec::new(),
            Phase::Query if self.is_settled() => {
                self.phase = Phase::Idle;
                vec![Action::Steady]
            }
            Phase::Query => {
                self.phase = Phase::Confirm;
                self.send_all(Command::Query)
            }
            Phase::Confirm => self.act_on_reports(),
            Phase::Recover => self.begin_round(),
            Phase::Prepare(map) => {
                let at = self.newest_position().map_or(0, |position| position.step) + self.margin;
                self.phase = Phase::Arm(map);
                self.send_all(Command::Arm { map, at })
            }
            Phase::Arm(map) => {
                self.phase = Phase::Commit(map);
                self.send_all(Command::Commit { map })
            }
            Phase::Commit(map) => {
                self.phase = Phase::Idle;
                self.switch_requested = false;
                vec![Action::Switched(map)]
            }
        }
    }

    /// Returns whether all members step without a pending switch and no switch is requested.
    fn is_settled(&self) -> bool {
        let settled = |report: &Report| report.state.position.is_some_and(|p| p.pending.is_none());
        !self.switch_requested && self.reports.iter().flatten().all(settled)
    }

    /// Starts recovery if the reports call for it, else the requested switch.
    fn act_on_reports(&mut self) -> Vec<Action> {
        let orders = self.recovery_orders();
        if !orders.is_empty() {
            self.phase = Phase::Recover;
            return self.send(orders);
        }
        let switching = self
            .positions()
            .any(|(_, position)| position.pending.is_some());
        if switching || !self.switch_requested {
            self.phase = Phase::Idle;
            return Vec::new();
        }
        let highest_maps = self
            .reports
            .iter()
            .flatten()
            .map(|report| report.state.highest_map);
        let map = highest_maps.max().unwrap_or(0) + 1;
        self.phase = Phase::Prepare(map);
        self.send_all(Command::Prepare { map })
    }

    /// Lists the orders that finish or undo an uncommitted switch, or else let cold members join.
    fn recovery_orders(&self) -> Vec<(Member, Command)> {
        let pending: Vec<(Member, Command)> = self
            .positions()
            .filter_map(|(member, position)| {
                let switch = position.pending.filter(|switch| !switch.committed)?;
                let map = switch.map;
                let command = if self.may_be_committed(map) {
                    Command::Commit { map }
                } else {
                    Command::Abort { map }
                };
                Some((member, command))
            })
            .collect();
        if pending.is_empty() {
            return self.join_orders();
        }
        pending
    }

    /// Returns whether the switch to a map is, or may be, committed.
    ///
    /// It may be if a member uses the map, or if all members that are not cold are armed for it: a
    /// cold member may have used it before it crashed.
    fn may_be_committed(&self, map: Map) -> bool {
        let uses = |position: Position| {
            position.map == map
                || position
                    .pending
                    .is_some_and(|switch| switch.map == map && switch.committed)
        };
        let armed = |position: Position| position.pending.is_some_and(|switch| switch.map == map);
        self.positions().any(|(_, position)| uses(position))
            || self.positions().all(|(_, position)| armed(position))
    }

    /// Lists the orders by which cold members join at the group's newest position.
    fn join_orders(&self) -> Vec<(Member, Command)> {
        let first = Position {
            epoch: self.fence,
            step: 1,
            map: 0,
            pending: None,
        };
        let position = self.newest_position().unwrap_or(first);
        let cold = |member: &Member| {
            let report = self.reports[*member];
            report.is_some_and(|report| report.state.position.is_none())
        };
        let cold = (0..self.reports.len()).filter(cold);
        cold.map(|member| (member, Command::Join { position }))
            .collect()
    }

    fn newest_position(&self) -> Option<Position> {
        let positions = self.positions().map(|(_, position)| position);
        positions.max_by_key(|position| position.step)
    }

    fn positions(&self) -> impl Iterator<Item = (Member, Position)> + '_ {
        let reports = self.reports.iter().enumerate();
        reports.filter_map(|(member, report)| Some((member, report.as_ref()?.state.position?)))
    }

    fn send_all(&mut self, command: Command) -> Vec<Action> {
        self.send((0..self.reports.len()).map(|m| (m, command)).collect())
    }

    fn send(&mut self, orders: Vec<(Member, Command)>) -> Vec<Action> {
        self.outstanding.fill(None);
        let mut actions = Vec::with_capacity(orders.len());
        for (member, command) in orders {
            self.outstanding[member] = Some(command);
            let order = Order {
                fence: self.fence,
                incarnation: self.reports[member].map(|report| report.incarnation),
                command,
            };
            actions.push(Action::Send(member, order));
        }
        actions
    }
}
