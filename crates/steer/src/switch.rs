use std::time::Duration;

use expert::Placement;
use tokio::time::Instant;

use crate::{
    Order, Status,
    engine::{Pass, Version},
    worker::digest,
};

/// Delay before an order that has had no effect is repeated.
const ORDER_RETRY: Duration = Duration::from_millis(10);
/// Delay before `prepare` is repeated; copying experts takes longer to show in a report.
const PREPARE_RETRY: Duration = Duration::from_millis(120);
/// Upper limit on how many passes ahead of the current one a hold may be. At tens of milliseconds per
/// pass, it covers the time that ranks get to arm.
const MAX_HOLD_LEAD: Pass = 12;
/// Number of ranks after the first whose agents complete a change if the leader stops responding.
pub(crate) const STANDBYS: usize = 2;
/// Age at which a rank's report is too old to start holding a pass.
const MAX_HOLD_REPORT_AGE: Duration = Duration::from_millis(250);
/// Time after which a change is abandoned if the ranks have not finished copying experts.
const PREPARE_TIMEOUT: Duration = Duration::from_secs(12);

/// Phase of the change of the expert map.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Phase {
    /// No change is in progress.
    Idle,
    /// Ranks copy the experts of the next map.
    Preparing,
    /// The first rank must hold a pass before it begins.
    Holding {
        /// Pass to hold.
        pass: Pass,
    },
    /// The pass is held; every rank must arm for it.
    Arming {
        /// Version of the new map.
        version: Version,
        /// Pass that is held.
        pass: Pass,
    },
    /// Every rank is armed; the pass must be released.
    Releasing {
        /// Version that all ranks then use; `None` if the pass was held without a new map.
        version: Option<Version>,
        /// Pass that is held.
        pass: Pass,
    },
}

/// State machine of the leader that moves a group to another expert map.
///
/// Safety depends on the order of phases, never on timing. All ranks have prepared the same map, which
/// each proves by a digest; the first rank holds a pass that has not begun; only then do ranks arm for
/// that pass; only when every rank reports that it is armed is the pass released. Orders may be lost
/// or carried out seconds late: a late `prepare` names a version that is no longer the highest, a late
/// `arm` or `hold` names a pass that has begun, and a late `go` names a pass that was released before.
/// Once all ranks have prepared, the change is decided and can only be completed, also by a leader
/// that restarted, so that no late `arm` can switch one rank alone.
///
/// The standbys, which are the agents of the next ranks, know the decision before a pass is held and
/// complete the change if the leader stops responding ([`crate::Takeover`]). No other map is prepared
/// until all standbys report that they know of no decision.
#[derive(Clone, Debug)]
pub struct Switch {
    phase: Phase,
    target: Option<Target>,
    /// Upper limit on how many passes ahead a hold may be, also before the leader restarted.
    max_hold_lead: Pass,
    /// Highest pass that any `hold` sent so far may name, also before the leader restarted.
    max_hold_pass: Option<Pass>,
    /// Whether the first rank has reported since all standbys knew of no decision. Such a report shows
    /// any pass that the rank holds for an earlier decision.
    decisions_cleared: bool,
    ranks: Vec<RankState>,
}

/// Map that the ranks prepare.
#[derive(Clone, Debug)]
struct Target {
    version: Version,
    placement: Placement,
    /// Expected digest of each rank's experts.
    digests: Vec<u64>,
    started_at: Instant,
}

#[derive(Clone, Debug, Default)]
struct RankState {
    status: Option<Status>,
    reported_at: Option<Instant>,
    last_order: Option<(Order, Instant)>,
}

/// Result of advancing a switch.
#[derive(Clone, Debug, PartialEq)]
pub enum Progress {
    /// The phase is the same as before.
    Unchanged,
    /// The switch entered this phase.
    Entered(Phase),
    /// The switch ended: with the map that the group now uses, or `None` if no map was prepared or
    /// the map is unknown to this leader.
    Ended(Option<(Version, Placement)>),
}

/// # Construction
impl Switch {
    /// Creates an idle switch for a group with this number of ranks.
    #[must_use]
    pub fn new(ranks: usize) -> Self {
        Self {
            phase: Phase::Idle,
            target: None,
            max_hold_lead: MAX_HOLD_LEAD,
            max_hold_pass: None,
            decisions_cleared: false,
            ranks: vec![RankState::default(); ranks],
        }
    }
}

/// # Building
impl Switch {
    /// Limits how many passes ahead a hold may be; a leader must use the same limit after a restart.
    #[must_use]
    pub const fn max_hold_lead(mut self, passes: Pass) -> Self {
        self.max_hold_lead = passes;
        self
    }
}

/// # Reading
impl Switch {
    /// Returns the current phase.
    #[must_use]
    pub const fn phase(&self) -> &Phase {
        &self.phase
    }

    /// Returns the last status of each rank, or `None` if a rank has not reported yet.
    #[must_use]
    pub fn statuses(&self) -> Option<Vec<&Status>> {
        self.ranks.iter().map(|rank| rank.status.as_ref()).collect()
    }

    /// Returns whether no change, hold or order is in progress, so that a new change may start.
    #[must_use]
    pub fn can_start(&self) -> bool {
        let idle = |s: &&Status| s.armed.is_none() && s.held.is_none() && !s.busy;
        let statuses = self.statuses();
        self.phase == Phase::Idle
            && self.decisions_cleared
            && statuses.is_some_and(|all| all.iter().all(idle))
    }

    /// Returns the version of a decided change: every rank has prepared it, and it must be completed.
    #[must_use]
    pub fn decided(&self) -> Option<Version> {
        match self.phase {
            Phase::Holding { .. } => self.target.as_ref().map(|target| target.version),
            Phase::Arming { version, .. } => Some(version),
            Phase::Releasing { version, .. } => version,
            Phase::Idle | Phase::Preparing => None,
        }
    }

    /// Returns a version above every version that a rank has reported.
    #[must_use]
    pub fn next_version(&self) -> Version {
        let statuses = self.ranks.iter().filter_map(|rank| rank.status.as_ref());
        let highest = statuses
            .flat_map(|s| [Some(s.map), s.prepared, s.armed])
            .flatten()
            .max();
        highest.unwrap_or(0) + 1
    }
}

/// # Steps
impl Switch {
    /// Starts a change to a placement; the version must be one that no rank has had.
    pub fn start(&mut self, version: Version, placement: Placement, now: Instant) {
        let ranks = self.ranks.len();
        let digests = (0..ranks)
            .map(|rank| digest(placement.iter().filter_map(|set| set.get(rank))))
            .collect();
        self.target = Some(Target {
            version,
            placement,
            digests,
            started_at: now,
        });
        self.phase = Phase::Preparing;
    }

    /// Records the status that a rank reported.
    pub fn record_status(&mut self, rank: usize, status: Status, now: Instant) {
        if rank == 0 {
            self.max_hold_pass
                .get_or_insert(status.pass + self.max_hold_lead);
        }
        let knows_none = status.decided.is_none();
        if let Some(state) = self.ranks.get_mut(rank) {
            state.status = Some(status);
            state.reported_at = Some(now);
        }
        if rank == 0 {
            self.decisions_cleared = self.standbys_know(None);
        } else if !knows_none {
            self.decisions_cleared = false;
        }
    }

    /// Enters the next phase if the statuses allow it.
    ///
    /// `hold_lead` is the number of passes between the current pass and one to hold.
    pub fn advance(&mut self, hold_lead: Pass, now: Instant) -> Progress {
        match self.next_phase(hold_lead, now) {
            Some(Phase::Idle) => {
                let ended = self
                    .target
                    .take()
                    .filter(|_| self.phase != Phase::Preparing);
                self.phase = Phase::Idle;
                Progress::Ended(ended.map(|target| (target.version, target.placement)))
            }
            Some(phase) if phase != self.phase => {
                if let Phase::Holding { pass } = phase {
                    self.max_hold_pass = self.max_hold_pass.max(Some(pass));
                }
                self.phase = phase.clone();
                Progress::Entered(phase)
            }
            _ => Progress::Unchanged,
        }
    }

    fn next_phase(&self, hold_lead: Pass, now: Instant) -> Option<Phase> {
        let first = self.ranks.first()?.status.as_ref()?;
        match self.phase {
            Phase::Idle => self.recover(first),
            Phase::Preparing => {
                let target = self.target.as_ref()?;
                let prepared = |rank: usize, s: &Status| {
                    s.prepared == Some(target.version) && s.digest == Some(target.digests[rank])
                };
                // Every pass that an earlier `hold` may name has begun, so no late one can take effect.
                let holds_expired = first.held.is_none() && first.pass >= self.max_hold_pass?;
                if holds_expired && self.all_ranks(prepared) && self.has_recent_reports(now) {
                    return Some(Phase::Holding {
                        pass: first.pass + hold_lead.min(self.max_hold_lead),
                    });
                }
                let refused = self.any_rank(|s| s.refused == Some(target.version));
                let timed_out = now.duration_since(target.started_at) > PREPARE_TIMEOUT;
                (refused || timed_out).then_some(Phase::Idle)
            }
            // A standby has completed the change.
            Phase::Holding { .. } if Some(first.map) == self.decided() => Some(Phase::Releasing {
                version: self.decided(),
                pass: first.pass,
            }),
            Phase::Holding { pass } => match first.held {
                Some(pass) if pass > first.pass => {
                    let version = self.target.as_ref()?.version;
                    Some(Phase::Arming { version, pass })
                }
                _ if first.pass >= pass => Some(Phase::Holding {
                    pass: first.pass + hold_lead.min(self.max_hold_lead),
                }),
                _ => None,
            },
            Phase::Arming { version, pass } => {
                // A standby may have completed the change meanwhile.
                let armed = self.all_ranks(|_, s| s.armed == Some(version) || s.map == version);
                armed.then_some(Phase::Releasing {
                    version: Some(version),
                    pass,
                })
            }
            Phase::Releasing { version, pass } => {
                let begun = first.pass >= pass && first.held != Some(pass);
                let uses = |s: &Status| version.is_none_or(|version| s.map == version);
                (begun && self.all_ranks(|_, s| uses(s))).then_some(Phase::Idle)
            }
        }
    }

    /// Returns the phase to resume if a pass is held from before the leader restarted.
    fn recover(&self, first: &Status) -> Option<Phase> {
        let pass = first.held?;
        let statuses = self.statuses()?;
        let prepared = statuses[0].armed.or(statuses[0].prepared);
        let same = statuses.iter().all(|s| s.armed.or(s.prepared) == prepared);
        // `arm` is sent only after all ranks have prepared the same map; if they have not, no `arm` is
        // in flight.
        match prepared.filter(|_| same) {
            Some(version) => Some(Phase::Arming { version, pass }),
            None if !self.decisions_cleared => None,
            None => Some(Phase::Releasing {
                version: None,
                pass,
            }),
        }
    }

    /// Returns whether every standby reports exactly this decision.
    fn standbys_know(&self, decided: Option<Version>) -> bool {
        let mut standbys = self.ranks.iter().skip(1).take(STANDBYS);
        standbys.all(|rank| {
            let status = rank.status.as_ref();
            status.is_some_and(|s| s.decided == decided)
        })
    }

    /// Returns whether the last report of every rank is recent, so that a pass is held only briefly.
    fn has_recent_reports(&self, now: Instant) -> bool {
        let recent = |at: Instant| now.duration_since(at) < MAX_HOLD_REPORT_AGE;
        self.ranks
            .iter()
            .all(|rank| rank.reported_at.is_some_and(recent))
    }

    fn all_ranks(&self, predicate: impl Fn(usize, &Status) -> bool) -> bool {
        let mut ranks = self.ranks.iter().enumerate();
        ranks.all(|(index, rank)| rank.status.as_ref().is_some_and(|s| predicate(index, s)))
    }

    fn any_rank(&self, predicate: impl Fn(&Status) -> bool) -> bool {
        self.ranks
            .iter()
            .filter_map(|rank| rank.status.as_ref())
            .any(predicate)
    }

    /// Returns the order to send to a rank, unless the same one was sent a moment ago.
    pub fn next_order(&mut self, rank: usize, now: Instant) -> Option<Order> {
        let order = self.required_order(rank)?;
        let state = self.ranks.get_mut(rank)?;
        let retry = match order {
            Order::Prepare { .. } => PREPARE_RETRY,
            _ => ORDER_RETRY,
        };
        let sent_recently = state
            .last_order
            .as_ref()
            .is_some_and(|(last, at)| *last == order && now.duration_since(*at) < retry);
        if sent_recently {
            return None;
        }
        state.last_order = Some((order.clone(), now));
        Some(order)
    }

    /// Returns the order that takes a rank from its last status to what the phase requires.
    fn required_order(&self, rank: usize) -> Option<Order> {
        let status = self.ranks.get(rank)?.status.as_ref()?;
        match self.phase {
            Phase::Idle => None,
            // A late `hold` of an earlier change took effect.
            Phase::Preparing if rank == 0 && status.held.is_some() => {
                status.held.map(|pass| Order::Go { pass })
            }
            Phase::Preparing => {
                let target = self.target.as_ref()?;
                let missing = status.prepared != Some(target.version) && !status.busy;
                missing.then(|| Order::Prepare {
                    version: target.version,
                    placement: target.placement.clone(),
                })
            }
            Phase::Holding { pass } => {
                let known = self.standbys_know(self.decided());
                (rank == 0 && status.held.is_none() && known).then_some(Order::Hold { pass })
            }
            Phase::Arming { version, pass } => {
                let armed = status.armed == Some(version) || status.map == version;
                (!armed).then_some(Order::Arm { version, pass })
            }
            Phase::Releasing { pass, .. } => {
                (rank == 0 && status.held == Some(pass)).then_some(Order::Go { pass })
            }
        }
    }
}
