use conf::id;
use wire::{Map, Step};

use crate::{Command, Fence, Order, Position, Report, State};

/// Steps between the newest known one and the one before which ranks hold.
const MARGIN: Step = 4;
/// Largest margin that failed tries lead to.
const MARGIN_LIMIT: Step = 64;

/// Index of a member of the group: an agent and the engine beside it.
pub type Member = usize;

/// What a leader wants done.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send an order to a member.
    Send(Member, Order),
    /// All members use a map, or will from a known step on.
    Switched(Map),
    /// All members step with the group and none is in a switch.
    Steady,
}

/// What a leader is waiting for.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Phase {
    /// The next round.
    Idle,
    /// Reports of all members on their state.
    Ask,
    /// The same reports again, from the same lives: only then did all of them heed this round at
    /// one moment, also where an agent restarted and forgot a number.
    Confirm,
    /// Answers to orders that end or mend what a round found.
    Mend,
    /// All members to load the weights of a map.
    Prepare(Map),
    /// All members to hold before a step.
    Arm(Map),
    /// All members to take in that the map is decided.
    Commit(Map),
}

/// Leads the switches of a group: pure, driven by reports and by the timeouts of its adapter.
///
/// Each round begins by asking all members, twice, under a higher fencing number, which shuts out
/// every order sent before. What the round does next rests on that full view alone. A round that meets
/// a refusal or a timeout is given up, and the next one finishes or undoes what it left.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Leader {
    fence: Fence,
    wish: bool,
    margin: Step,
    phase: Phase,
    reports: Vec<Option<Report>>,
    /// Command that each member has yet to answer.
    waiting: Vec<Option<Command>>,
}

impl Leader {
    /// Creates a leader that knows nothing of its members yet.
    #[must_use]
    pub fn new(version: conf::Number, life: id::Incarnation, members: usize) -> Self {
        Self {
            fence: Fence::new(version, life),
            wish: false,
            margin: MARGIN,
            phase: Phase::Idle,
            reports: vec![None; members],
            waiting: vec![None; members],
        }
    }

    /// Sets the steps between the newest known one and the one before which ranks hold.
    #[must_use]
    pub fn margin(mut self, steps: Step) -> Self {
        self.margin = steps.max(1);
        self
    }

    /// Asks for a switch to a new map, whose number the leader chooses.
    pub fn request_switch(&mut self) {
        self.wish = true;
    }

    /// Returns whether a wished switch is not through yet.
    #[must_use]
    pub fn switch_requested(&self) -> bool {
        self.wish
    }

    /// Returns the number of the present round.
    #[must_use]
    pub fn fence(&self) -> Fence {
        self.fence
    }

    /// Returns whether the leader waits for answers.
    #[must_use]
    pub fn is_waiting(&self) -> bool {
        self.phase != Phase::Idle
    }

    /// Returns the last known state of a member.
    #[must_use]
    pub fn state(&self, member: Member) -> Option<State> {
        self.reports.get(member)?.map(|report| report.state)
    }

    /// Begins a round: also what a timeout leads to, whatever was under way.
    pub fn begin_round(&mut self) -> Vec<Action> {
        if matches!(self.phase, Phase::Arm(_)) {
            self.margin = (self.margin * 2).min(MARGIN_LIMIT.max(self.margin));
        }
        self.fence = self.fence.after(self.fence);
        self.reports.fill(None);
        self.phase = Phase::Ask;
        let all = 0..self.reports.len();
        self.send(all.map(|member| (member, Command::Query)).collect())
    }

    /// Takes in a member's report.
    pub fn report(&mut self, member: Member, report: Report) -> Vec<Action> {
        if report.highest > self.fence {
            return self.yield_to(report.highest);
        }
        let expected = self.waiting.get(member).copied().flatten();
        if report.fence != self.fence || expected != Some(report.command) {
            return Vec::new();
        }
        if !report.done {
            return self.give_up();
        }
        self.waiting[member] = None;
        self.reports[member] = Some(report);
        if self.waiting.iter().any(Option::is_some) {
            return Vec::new();
        }
        self.advance()
    }

    /// Remembers a higher number; the next round goes above it.
    fn yield_to(&mut self, highest: Fence) -> Vec<Action> {
        self.fence = Fence {
            round: self.fence.after(highest).round - 1,
            ..self.fence
        };
        self.give_up()
    }

    fn give_up(&mut self) -> Vec<Action> {
        if matches!(self.phase, Phase::Arm(_)) {
            self.margin = (self.margin * 2).min(MARGIN_LIMIT.max(self.margin));
        }
        self.phase = Phase::Idle;
        self.waiting.fill(None);
        Vec::new()
    }

    /// Goes on once all members that were waited for have answered.
    fn advance(&mut self) -> Vec<Action> {
        match self.phase {
            Phase::Idle => Vec::new(),
            Phase::Ask if self.calm() => {
                self.phase = Phase::Idle;
                vec![Action::Steady]
            }
            Phase::Ask => {
                self.phase = Phase::Confirm;
                self.send_all(Command::Query)
            }
            Phase::Confirm => self.decide(),
            Phase::Mend => self.begin_round(),
            Phase::Prepare(map) => {
                let at = self.newest().map_or(0, |position| position.step) + self.margin;
                self.phase = Phase::Arm(map);
                self.send_all(Command::Arm { map, at })
            }
            Phase::Arm(map) => {
                self.phase = Phase::Commit(map);
                self.send_all(Command::Commit { map })
            }
            Phase::Commit(map) => {
                self.phase = Phase::Idle;
                self.wish = false;
                vec![Action::Switched(map)]
            }
        }
    }

    /// Returns whether nothing is to be mended or begun.
    fn calm(&self) -> bool {
        let settled = |report: &Report| report.state.position.is_some_and(|p| p.pending.is_none());
        !self.wish && self.reports.iter().flatten().all(settled)
    }

    /// Decides from a full view: mend what is half done, else start the wished switch.
    fn decide(&mut self) -> Vec<Action> {
        let mends = self.mends();
        if !mends.is_empty() {
            self.phase = Phase::Mend;
            return self.send(mends);
        }
        let switching = self
            .places()
            .any(|(_, position)| position.pending.is_some());
        if switching || !self.wish {
            self.phase = Phase::Idle;
            return Vec::new();
        }
        let seen = self
            .reports
            .iter()
            .flatten()
            .map(|report| report.state.highest_map);
        let map = seen.max().unwrap_or(0) + 1;
        self.phase = Phase::Prepare(map);
        self.send_all(Command::Prepare { map })
    }

    /// Lists the orders that finish or undo a switch, or else bring cold members in.
    fn mends(&self) -> Vec<(Member, Command)> {
        let pending: Vec<(Member, Command)> = self
            .places()
            .filter_map(|(member, position)| {
                let next = position.pending.filter(|next| !next.committed)?;
                let map = next.map;
                let command = if self.decided(map) {
                    Command::Commit { map }
                } else {
                    Command::Abort { map }
                };
                Some((member, command))
            })
            .collect();
        if pending.is_empty() {
            return self.joins();
        }
        pending
    }

    /// Returns whether a map was, or may have been, decided.
    ///
    /// It may have been if a member uses it, or if all that are not cold still hold for it: a
    /// cold one may have used it before it died.
    fn decided(&self, map: Map) -> bool {
        let uses = |position: Position| {
            position.map == map
                || position
                    .pending
                    .is_some_and(|n| n.map == map && n.committed)
        };
        let holds = |position: Position| position.pending.is_some_and(|n| n.map == map);
        self.places().any(|(_, position)| uses(position))
            || self.places().all(|(_, position)| holds(position))
    }

    /// Lists the orders that bring cold members in, at the group's newest position.
    fn joins(&self) -> Vec<(Member, Command)> {
        let first = Position {
            epoch: self.fence,
            step: 1,
            map: 0,
            pending: None,
        };
        let position = self.newest().unwrap_or(first);
        let cold = |member: &Member| {
            let report = self.reports[*member];
            report.is_some_and(|report| report.state.position.is_none())
        };
        let cold = (0..self.reports.len()).filter(cold);
        cold.map(|member| (member, Command::Join { position }))
            .collect()
    }

    fn newest(&self) -> Option<Position> {
        let places = self.places().map(|(_, position)| position);
        places.max_by_key(|position| position.step)
    }

    fn places(&self) -> impl Iterator<Item = (Member, Position)> + '_ {
        let reports = self.reports.iter().enumerate();
        reports.filter_map(|(member, report)| Some((member, report.as_ref()?.state.position?)))
    }

    fn send_all(&mut self, command: Command) -> Vec<Action> {
        self.send((0..self.reports.len()).map(|m| (m, command)).collect())
    }

    fn send(&mut self, orders: Vec<(Member, Command)>) -> Vec<Action> {
        self.waiting.fill(None);
        let mut actions = Vec::with_capacity(orders.len());
        for (member, command) in orders {
            self.waiting[member] = Some(command);
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
