use std::{net::SocketAddr, time::Duration};

use conf::unit;
use expert::{Balancer, Limits, Placement};
use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use tokio::time::Instant;

use crate::{
    Decision, Order, Phase, Status, Switch, Tally,
    engine::{Epoch, Pass, Version},
    switch::{DEPUTIES, Progress},
};

/// Time between two reports of a rank while nothing is under way, and while experts are copied.
const PAUSES: (Duration, Duration) = (Duration::from_millis(120), Duration::from_millis(25));
/// Time between two reports of a rank while a pass is held or about to be: each one delays a group.
const HOLDING: Duration = Duration::from_millis(10);
/// Age at which a rank's report is too old to plan from.
const FRESH: Duration = Duration::from_millis(1200);
/// Time that ranks get to arm before the held pass is due.
const LEAD_TIME: Duration = Duration::from_millis(150);
/// Time between two log lines on how a group steps.
const TELL: Duration = Duration::from_millis(250);
/// Fewest passes that a hold is ahead.
const LEAST_MARGIN: Pass = 3;
/// Time of a pass before one was measured.
const PASS: Duration = Duration::from_millis(50);
/// Pause after a switch that could not be prepared.
const BACKOFF: Duration = Duration::from_secs(1);
/// Time without a report from which a rank's agent is taken for silent; reports come every 25 ms
/// during a change.
const SILENT: Duration = Duration::from_millis(400);

/// How eagerly a group's map is changed.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Tuning {
    /// Time for which ranks copy experts in one change at most; passes are slower meanwhile.
    #[serde_as(as = "unit::Span")]
    pub copying: Duration,
    /// Skew that each second of copying at a rank must save at least.
    pub price: f64,
    /// Skew from which the map is changed.
    pub least_skew: f64,
    /// Skew that a change must save at least.
    pub least_gain: f64,
    /// Time in which counts lose weight by a factor of e.
    #[serde_as(as = "unit::Span")]
    pub memory: Duration,
    /// Rise of the skew by the newest choices from which only they are planned for.
    pub sudden: f64,
    /// Share in a plan of what was chosen in the last seconds, beside what was chosen of late.
    pub lasting: f64,
    /// Choices in memory, for each set, from which a plan is made.
    pub least_mass: f64,
    /// Least time between the end of a switch and the next.
    #[serde_as(as = "unit::Span")]
    pub rest: Duration,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            copying: Duration::from_millis(240),
            price: 0.035,
            least_skew: 1.6,
            least_gain: 0.3,
            memory: Duration::from_millis(400),
            sudden: 0.5,
            lasting: 0.5,
            least_mass: 20_000.0,
            rest: Duration::from_millis(100),
        }
    }
}

/// What a leader tells a rank.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Instructions {
    /// Order to carry out now.
    pub order: Option<Order>,
    /// Whether the next report should list the experts of the map in use.
    pub list: bool,
    /// Time until the next report.
    pub pause: Duration,
    /// Change that the rank completes if the leader falls silent.
    pub decision: Option<Decision>,
}

/// Leads a group: learns what its ranks count and plans, and switches maps.
#[derive(Debug)]
pub struct Lead {
    tuning: Tuning,
    /// Bounds of one change and the time of one copy; `None` until the service's configuration is known.
    room: Option<(Limits, Duration)>,
    sets: usize,
    epoch: Epoch,
    ranks: usize,
    switch: Switch,
    tally: Tally,
    placement: Option<Placement>,
    lists: Vec<Option<Vec<Vec<u16>>>>,
    heard: Vec<Option<Instant>>,
    engines: Vec<Option<SocketAddr>>,
    first_version: Version,
    created: Instant,
    rested: Instant,
    told: Option<Instant>,
    pass: Option<(Pass, Instant, Duration)>,
}

impl Lead {
    /// Creates a leader that knows nothing of its group yet.
    #[must_use]
    pub fn new(tuning: Tuning, now: Instant) -> Self {
        Self {
            tuning,
            room: None,
            sets: 0,
            epoch: 0,
            ranks: 0,
            switch: Switch::new(0),
            tally: Tally::new(tuning.memory, 0),
            placement: None,
            lists: Vec::new(),
            heard: Vec::new(),
            engines: Vec::new(),
            first_version: 0,
            created: now,
            rested: now,
            told: None,
            pass: None,
        }
    }

    /// Sets the lowest version that is given to a map now; it grows by one in each millisecond.
    ///
    /// Each life of a leader has to use higher versions than the lives before, so that orders of
    /// theirs which are still under way are refused.
    #[must_use]
    pub const fn first_version(mut self, version: Version) -> Self {
        self.first_version = version;
        self
    }

    /// Returns the life of the group that is led.
    #[must_use]
    pub const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Sets how many experts of a set a rank holds, how many it takes on in one change, and how
    /// long it copies each.
    pub fn allow(&mut self, places: usize, fresh: usize, copy_time: Duration) {
        let copies = self.tuning.copying.as_secs_f64() / copy_time.as_secs_f64().max(0.001);
        let room = Limits {
            capacity: places,
            copies_per_set: fresh,
            total_copies: (copies as usize).max(1),
        };
        self.room = Some((room, copy_time));
    }

    /// Takes in a rank's report and returns what the rank is to do.
    pub fn meet(&mut self, rank: usize, status: Status, now: Instant) -> Instructions {
        if status.epoch > self.epoch || status.ranks != self.ranks && status.epoch == self.epoch {
            self.begin(&status, now);
        }
        let pause = match self.switch.phase() {
            Phase::Idle => PAUSES.0,
            Phase::Preparing => PAUSES.1,
            _ => HOLDING,
        };
        if status.epoch < self.epoch || rank >= self.ranks {
            return Instructions {
                order: None,
                list: false,
                pause: PAUSES.0,
                decision: None,
            };
        }
        self.heard[rank] = Some(now);
        self.engines[rank] = Some(status.engine);
        if !status.fresh.is_empty() {
            self.tally.add(&status.fresh, now);
        }
        if let Some(list) = &status.list {
            self.learn(rank, list);
        }
        if rank == 0 {
            self.time_pass(status.pass, now);
        }
        let open = status.open;
        self.switch.tell(rank, status, now);
        if rank == 0 && open {
            self.advance(now);
        }
        Instructions {
            order: self.switch.order(rank, now),
            list: self.placement.is_none(),
            pause,
            decision: self.decision().filter(|_| (1..=DEPUTIES).contains(&rank)),
        }
    }

    /// Returns the change that is decided, if one is.
    fn decision(&self) -> Option<Decision> {
        let version = self.switch.decided()?;
        Some(Decision {
            epoch: self.epoch,
            version,
            engines: self.engines.iter().copied().collect::<Option<_>>()?,
        })
    }

    /// Returns the change that waits for a rank whose agent is silent.
    #[must_use]
    pub fn overdue(&self, now: Instant) -> Option<Decision> {
        let silent = |at: &Option<Instant>| at.is_none_or(|at| now.duration_since(at) > SILENT);
        let waits = matches!(self.switch.phase(), Phase::Arming { .. });
        let decision = self.decision().filter(|_| waits)?;
        self.heard.iter().any(silent).then_some(decision)
    }

    /// Starts anew with a group that has formed.
    fn begin(&mut self, status: &Status, now: Instant) {
        log::info!(epoch = status.epoch, ranks = status.ranks, map = status.map; "group has formed");
        self.epoch = status.epoch;
        self.ranks = status.ranks;
        self.switch = Switch::new(status.ranks);
        self.placement = self.initial(status);
        self.lists = vec![None; status.ranks];
        self.heard = vec![None; status.ranks];
        self.engines = vec![None; status.ranks];
        self.rested = now;
        self.pass = None;
    }

    /// Returns the placement that a group starts with, if the sizes are known from an earlier life.
    fn initial(&self, status: &Status) -> Option<Placement> {
        let experts = self.tally.popularity().first()?.len();
        (status.map == 0).then(|| Balancer::initial(self.sets, experts, status.ranks))
    }

    /// Learns the placement in force from the lists of all ranks.
    fn learn(&mut self, rank: usize, list: &[Vec<u16>]) {
        if self.placement.is_some() || self.switch.phase() != &Phase::Idle {
            return;
        }
        self.lists[rank] = Some(list.to_vec());
        let Some(lists) = self.lists.iter().cloned().collect::<Option<Vec<_>>>() else {
            return;
        };
        if lists.len() != self.ranks {
            return;
        }
        let sets = list.len();
        let experts = |rank: &Vec<Vec<u16>>, set: usize| rank.get(set).cloned().unwrap_or_default();
        let set = |index| lists.iter().map(|rank| experts(rank, index)).collect();
        self.placement = Some((0..sets).map(set).collect());
        if sets != self.sets {
            self.sets = sets;
            self.tally = Tally::new(self.tuning.memory, sets);
        }
    }

    fn time_pass(&mut self, pass: Pass, now: Instant) {
        let Some((from, since, span)) = self.pass else {
            self.pass = Some((pass, now, PASS));
            return;
        };
        let passes = pass.saturating_sub(from);
        if passes >= 4 {
            let count = u32::try_from(passes).unwrap_or(u32::MAX);
            self.pass = Some((pass, now, now.duration_since(since) / count));
        } else if now.duration_since(since) > FRESH {
            self.pass = Some((pass, now, span));
        }
    }

    fn margin(&self) -> Pass {
        let span = self
            .pass
            .map_or(PASS, |(_, _, span)| span)
            .max(Duration::from_millis(1));
        let passes = LEAD_TIME.as_secs_f64() / span.as_secs_f64();
        (passes.ceil() as Pass).max(LEAST_MARGIN)
    }

    fn advance(&mut self, now: Instant) {
        match self.switch.advance(self.margin(), now) {
            Progress::None => {}
            Progress::Step(phase) => {
                log::info!(epoch = self.epoch, phase:? = phase; "switch goes on")
            }
            Progress::Ended(Some((version, placement))) => {
                let skew = Balancer::skew(&placement, &self.tally.popularity());
                log::info!(epoch = self.epoch, map = version, skew = format!("{skew:.3}"); "map is in use");
                self.placement = Some(placement);
                self.rested = now + self.tuning.rest;
            }
            Progress::Ended(None) => {
                log::warn!(epoch = self.epoch; "switch has ended without a known map");
                self.placement = None;
                self.lists = vec![None; self.ranks];
                self.rested = now + BACKOFF;
            }
        }
        self.tell(now);
        self.plan(now);
    }

    /// Logs what this leader believes of the group, from time to time.
    fn tell(&mut self, now: Instant) {
        let due = self.told.is_none_or(|at| now.duration_since(at) >= TELL);
        let Some(placement) = self.placement.as_ref().filter(|_| due) else {
            return;
        };
        let skew = Balancer::skew(placement, &self.tally.popularity());
        let pass = self.pass.map_or(PASS, |(_, _, span)| span);
        log::info!(
            epoch = self.epoch,
            skew = format!("{skew:.3}"),
            choices = self.tally.mass() as u64,
            pass_ms = pass.as_millis() as u64;
            "group steps"
        );
        self.told = Some(now);
    }

    /// Returns the popularity to plan for: the newest alone once the topic has changed.
    fn expected(&self, placement: &Placement) -> Vec<Vec<f64>> {
        let newest = self.tally.newest();
        let expected = self.tally.blend(self.tuning.lasting);
        let rise = Balancer::skew(placement, &newest) - Balancer::skew(placement, &expected);
        if rise > self.tuning.sudden {
            newest
        } else {
            expected
        }
    }

    /// Starts a switch if one is worth it.
    fn plan(&mut self, now: Instant) {
        let fresh = |at: &Option<Instant>| at.is_some_and(|at| now.duration_since(at) < FRESH);
        if now < self.rested || !self.switch.is_quiet() || !self.heard.iter().all(fresh) {
            return;
        }
        let (Some(placement), Some((room, copy_time))) = (&self.placement, self.room) else {
            return;
        };
        if self.tally.mass() < self.tuning.least_mass {
            return;
        }
        let popularity = self.expected(placement);
        let balancer = Balancer::new(room, self.tuning.price * copy_time.as_secs_f64());
        let Some(step) = balancer.plan(placement, &popularity) else {
            return;
        };
        let (before, after) = step.skew;
        if before < self.tuning.least_skew || before - after < self.tuning.least_gain {
            return;
        }
        let age = now.duration_since(self.created).as_millis() as Version;
        let version = self.switch.free_version().max(self.first_version + age);
        log::info!(
            epoch = self.epoch,
            map = version,
            copies = step.copies,
            skew_before = format!("{:.3}", step.skew.0),
            skew_after = format!("{:.3}", step.skew.1),
            choices = self.tally.mass() as u64;
            "switch begins"
        );
        self.switch.start(version, step.placement, now);
    }
}
