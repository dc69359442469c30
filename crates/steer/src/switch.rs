use std::time::Duration;

use expert::Placement;
use tokio::time::Instant;

use crate::{
    Order, Status,
    engine::{Pass, Version},
    member::digest,
};

/// Time after which an order that showed no effect is given again.
const AGAIN: Duration = Duration::from_millis(10);
/// Time after which an order to copy experts, which takes longer to show, is given again.
const COPY_AGAIN: Duration = Duration::from_millis(120);
/// Passes that a hold is ahead at most; with tens of milliseconds each they cover the time that ranks
/// get to arm.
const AHEAD: Pass = 12;
/// Ranks after the first whose agents complete a change if the leader falls silent.
pub(crate) const DEPUTIES: usize = 2;
/// Age of a rank's report from which no pass is held for it.
const TOUCH: Duration = Duration::from_millis(250);
/// Time after which copying that does not end is given up.
const COPYING: Duration = Duration::from_secs(12);

/// Step of a switch that is under way.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Phase {
    /// No switch is under way.
    Idle,
    /// Ranks copy the experts of the next map.
    Preparing,
    /// The first rank is to hold a pass.
    Holding {
        /// The pass.
        pass: Pass,
    },
    /// The pass is held; every rank is to arm for it.
    Arming {
        /// The map.
        version: Version,
        /// The pass.
        pass: Pass,
    },
    /// Every rank is armed; the pass is to be released.
    Releasing {
        /// The map that all ranks then use; `None` if the pass was held without one.
        version: Option<Version>,
        /// The pass.
        pass: Pass,
    },
}

/// Takes a group over to another map, as the leader beside its first rank.
///
/// The order of steps makes it safe, never time. All ranks have prepared the same map, which each
/// proves by a digest; the first rank holds a pass that has not begun; only then ranks arm for that
/// pass; only when every rank reports that it is armed, the pass is released. Orders may be lost or
/// carried out seconds late: a late `prepare` names a version that is no longer the highest, a late
/// `arm` or `hold` a pass that has begun, a late `go` a pass that was released before. Once all ranks
/// have prepared, the change is decided and only goes forward, also by a leader that restarted, so
/// that no late `arm` can take one rank over alone.
///
/// The agents beside the next ranks, the deputies, know of the decision before a pass is held, and
/// complete the change if the leader falls silent ([`crate::Finish`]). No other map is prepared until
/// both tell that they know of no decision.
#[derive(Clone, Debug)]
pub struct Switch {
    phase: Phase,
    next: Option<Next>,
    /// Passes that a hold is ahead at most, also in earlier lives of the leader.
    ahead: Pass,
    /// Highest pass that an order to hold may name so far, also one of an earlier life.
    named: Option<Pass>,
    /// Whether the first rank has told since all deputies knew of no decision: a pass that it held
    /// for one would show.
    undecided: bool,
    ranks: Vec<Slot>,
}

#[derive(Clone, Debug)]
struct Next {
    version: Version,
    placement: Placement,
    digests: Vec<u64>,
    since: Instant,
}

#[derive(Clone, Debug, Default)]
struct Slot {
    status: Option<Status>,
    heard: Option<Instant>,
    ordered: Option<(Order, Instant)>,
}

/// What became of a switch.
#[derive(Clone, Debug, PartialEq)]
pub enum Progress {
    /// Nothing has changed.
    None,
    /// The next step has begun.
    Step(Phase),
    /// The group uses the placement, or none could be prepared.
    Ended(Option<(Version, Placement)>),
}

/// # Construction
impl Switch {
    /// Creates a switch for a group of so many ranks.
    #[must_use]
    pub fn new(ranks: usize) -> Self {
        Self {
            phase: Phase::Idle,
            next: None,
            ahead: AHEAD,
            named: None,
            undecided: false,
            ranks: vec![Slot::default(); ranks],
        }
    }
}

/// # Building
impl Switch {
    /// Sets how many passes a hold is ahead at most; every life of a leader has to use the same.
    #[must_use]
    pub const fn ahead(mut self, passes: Pass) -> Self {
        self.ahead = passes;
        self
    }
}

/// # Reading
impl Switch {
    /// Returns the step that is under way.
    #[must_use]
    pub const fn phase(&self) -> &Phase {
        &self.phase
    }

    /// Returns the statuses of all ranks, if each has told one.
    #[must_use]
    pub fn statuses(&self) -> Option<Vec<&Status>> {
        self.ranks.iter().map(|slot| slot.status.as_ref()).collect()
    }

    /// Returns whether nothing is under way at any rank.
    #[must_use]
    pub fn is_quiet(&self) -> bool {
        let quiet = |s: &&Status| s.armed.is_none() && s.held.is_none() && !s.busy;
        let statuses = self.statuses();
        self.phase == Phase::Idle
            && self.undecided
            && statuses.is_some_and(|all| all.iter().all(quiet))
    }

    /// Returns the map of a change that only goes forward from here: every rank has prepared it.
    #[must_use]
    pub fn decided(&self) -> Option<Version> {
        match self.phase {
            Phase::Holding { .. } => self.next.as_ref().map(|next| next.version),
            Phase::Arming { version, .. } => Some(version),
            Phase::Releasing { version, .. } => version,
            Phase::Idle | Phase::Preparing => None,
        }
    }

    /// Returns a version above all that any rank has told.
    #[must_use]
    pub fn free_version(&self) -> Version {
        let told = self.ranks.iter().filter_map(|slot| slot.status.as_ref());
        let highest = told
            .flat_map(|s| [Some(s.map), s.prepared, s.armed])
            .flatten()
            .max();
        highest.unwrap_or(0) + 1
    }
}

/// # Steps
impl Switch {
    /// Starts a switch to a placement under a version that no rank has had.
    pub fn start(&mut self, version: Version, placement: Placement, now: Instant) {
        let ranks = self.ranks.len();
        let digests = (0..ranks)
            .map(|rank| digest(placement.iter().filter_map(|set| set.get(rank))))
            .collect();
        self.next = Some(Next {
            version,
            placement,
            digests,
            since: now,
        });
        self.phase = Phase::Preparing;
    }

    /// Takes in what a rank tells.
    pub fn tell(&mut self, rank: usize, status: Status, now: Instant) {
        if rank == 0 {
            self.named.get_or_insert(status.pass + self.ahead);
        }
        let undecided = status.decided.is_none();
        if let Some(slot) = self.ranks.get_mut(rank) {
            slot.status = Some(status);
            slot.heard = Some(now);
        }
        if rank == 0 {
            self.undecided = self.deputies(None);
        } else if !undecided {
            self.undecided = false;
        }
    }

    /// Goes on as far as the statuses allow; `margin` is the number of passes that a hold must be ahead.
    pub fn advance(&mut self, margin: Pass, now: Instant) -> Progress {
        let next = self.next_phase(margin, now);
        match next {
            Some(Phase::Idle) => {
                let ended = self.next.take().filter(|_| self.phase != Phase::Preparing);
                self.phase = Phase::Idle;
                Progress::Ended(ended.map(|next| (next.version, next.placement)))
            }
            Some(phase) if phase != self.phase => {
                if let Phase::Holding { pass } = phase {
                    self.named = self.named.max(Some(pass));
                }
                self.phase = phase.clone();
                Progress::Step(phase)
            }
            _ => Progress::None,
        }
    }

    fn next_phase(&self, margin: Pass, now: Instant) -> Option<Phase> {
        let first = self.ranks.first()?.status.as_ref()?;
        match self.phase {
            Phase::Idle => self.recover(first),
            Phase::Preparing => {
                let next = self.next.as_ref()?;
                let prepared = |rank: usize, s: &Status| {
                    s.prepared == Some(next.version) && s.digest == Some(next.digests[rank])
                };
                let begun = first.held.is_none() && first.pass >= self.named?;
                if begun && self.all(prepared) && self.is_in_touch(now) {
                    return Some(Phase::Holding {
                        pass: first.pass + margin.min(self.ahead),
                    });
                }
                let refused = self.any(|s| s.refused == Some(next.version));
                let late = now.duration_since(next.since) > COPYING;
                (refused || late).then_some(Phase::Idle)
            }
            // A deputy has completed the change.
            Phase::Holding { .. } if Some(first.map) == self.decided() => Some(Phase::Releasing {
                version: self.decided(),
                pass: first.pass,
            }),
            Phase::Holding { pass } => match first.held {
                Some(pass) if pass > first.pass => {
                    let version = self.next.as_ref()?.version;
                    Some(Phase::Arming { version, pass })
                }
                _ if first.pass >= pass => Some(Phase::Holding {
                    pass: first.pass + margin.min(self.ahead),
                }),
                _ => None,
            },
            Phase::Arming { version, pass } => {
                // Another agent may have completed the change meanwhile.
                let armed = self.all(|_, s| s.armed == Some(version) || s.map == version);
                armed.then_some(Phase::Releasing {
                    version: Some(version),
                    pass,
                })
            }
            Phase::Releasing { version, pass } => {
                let begun = first.pass >= pass && first.held != Some(pass);
                let uses = |s: &Status| version.is_none_or(|version| s.map == version);
                (begun && self.all(|_, s| uses(s))).then_some(Phase::Idle)
            }
        }
    }

    /// Finds what an earlier life of the leader left behind: a pass that is held.
    fn recover(&self, first: &Status) -> Option<Phase> {
        let pass = first.held?;
        let statuses = self.statuses()?;
        let prepared = statuses[0].armed.or(statuses[0].prepared);
        let same = statuses.iter().all(|s| s.armed.or(s.prepared) == prepared);
        // Arms are sent only after all ranks have prepared, so that without that none is under way.
        match prepared.filter(|_| same) {
            Some(version) => Some(Phase::Arming { version, pass }),
            None if !self.undecided => None,
            None => Some(Phase::Releasing {
                version: None,
                pass,
            }),
        }
    }

    /// Returns whether every deputy has told that this is the decision that it knows of.
    fn deputies(&self, decided: Option<Version>) -> bool {
        let mut deputies = self.ranks.iter().skip(1).take(DEPUTIES);
        deputies.all(|slot| {
            let status = slot.status.as_ref();
            status.is_some_and(|s| s.decided == decided)
        })
    }

    /// Returns whether every rank was heard of a moment ago, so that a held pass is short.
    fn is_in_touch(&self, now: Instant) -> bool {
        let touch = |at: Instant| now.duration_since(at) < TOUCH;
        self.ranks.iter().all(|slot| slot.heard.is_some_and(touch))
    }

    fn all(&self, holds: impl Fn(usize, &Status) -> bool) -> bool {
        let mut ranks = self.ranks.iter().enumerate();
        ranks.all(|(rank, slot)| slot.status.as_ref().is_some_and(|s| holds(rank, s)))
    }

    fn any(&self, holds: impl Fn(&Status) -> bool) -> bool {
        self.ranks
            .iter()
            .filter_map(|slot| slot.status.as_ref())
            .any(holds)
    }

    /// Returns the order that a rank needs now.
    pub fn order(&mut self, rank: usize, now: Instant) -> Option<Order> {
        let order = self.wanted(rank)?;
        let slot = self.ranks.get_mut(rank)?;
        let again = match order {
            Order::Prepare { .. } => COPY_AGAIN,
            _ => AGAIN,
        };
        let repeated = slot
            .ordered
            .as_ref()
            .is_some_and(|(last, at)| *last == order && now.duration_since(*at) < again);
        if repeated {
            return None;
        }
        slot.ordered = Some((order.clone(), now));
        Some(order)
    }

    fn wanted(&self, rank: usize) -> Option<Order> {
        let status = self.ranks.get(rank)?.status.as_ref()?;
        match self.phase {
            Phase::Idle => None,
            // A late order of an earlier change has held it.
            Phase::Preparing if rank == 0 && status.held.is_some() => {
                status.held.map(|pass| Order::Go { pass })
            }
            Phase::Preparing => {
                let next = self.next.as_ref()?;
                let missing = status.prepared != Some(next.version) && !status.busy;
                missing.then(|| Order::Prepare {
                    version: next.version,
                    placement: next.placement.clone(),
                })
            }
            Phase::Holding { pass } => {
                let known = self.deputies(self.decided());
                (rank == 0 && status.held.is_none() && known).then_some(Order::Hold { pass })
            }
            Phase::Arming { version, pass } => {
                let passed = status.armed == Some(version) || status.map == version;
                (!passed).then_some(Order::Arm { version, pass })
            }
            Phase::Releasing { pass, .. } => {
                (rank == 0 && status.held == Some(pass)).then_some(Order::Go { pass })
            }
        }
    }
}
