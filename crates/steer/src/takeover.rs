use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    Order, Report,
    engine::{Epoch, Pass, Version},
};

/// Map change that must be completed, since every rank has prepared the map.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Decision {
    /// Epoch of the group; the decision is void in any other.
    pub epoch: Epoch,
    /// Version of the prepared map.
    pub version: Version,
    /// Address of each rank's engine, by rank.
    pub engines: Vec<SocketAddr>,
}

/// State machine that completes a decided map change for an agent that does not respond.
///
/// It sends only orders that follow from the decision and may repeat them, so any number of agents
/// can run it at the same time as the leader.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Takeover {
    decision: Decision,
    /// Pass that the first rank holds; the map takes effect when it begins.
    held: Option<Pass>,
    /// Whether each rank is armed or uses the map already.
    armed: Vec<bool>,
    done: bool,
}

impl Takeover {
    /// Creates the takeover of a decision; no rank's state is known yet.
    #[must_use]
    pub fn new(decision: Decision) -> Self {
        Self {
            armed: vec![false; decision.engines.len()],
            held: None,
            done: decision.engines.is_empty(),
            decision,
        }
    }

    /// Returns the decision that is being completed.
    #[must_use]
    pub const fn decision(&self) -> &Decision {
        &self.decision
    }

    /// Returns whether the first rank has reported a held pass.
    #[must_use]
    pub const fn is_held(&self) -> bool {
        self.held.is_some()
    }

    /// Returns whether the held pass has begun or the epoch of the group has ended.
    #[must_use]
    pub const fn is_done(&self) -> bool {
        self.done
    }

    /// Records the report of a rank's engine, which may be a few hundred milliseconds old.
    pub fn record_report(&mut self, rank: usize, report: &Report) {
        let epoch = report.group.as_ref().map(|group| group.epoch);
        if rank == 0 {
            self.held = self.held.or(report.held);
        }
        let begun = self.held.is_some_and(|pass| report.pass >= pass);
        self.done |= epoch != Some(self.decision.epoch) || begun;
        // A rank stays armed until the pass begins, so an old report is as good as a new one.
        let version = self.decision.version;
        if let Some(armed) = self.armed.get_mut(rank) {
            *armed |= report.armed == Some(version) || report.map == version;
        }
    }

    /// Returns the order to send to a rank's engine.
    ///
    /// There is none until the first rank has reported which pass it holds.
    #[must_use]
    pub fn next_order(&self, rank: usize) -> Option<Order> {
        let version = self.decision.version;
        let pass = self.held?;
        let armed = *self.armed.get(rank)?;
        let all_armed = self.armed.iter().all(|armed| *armed);
        match (self.done, armed, all_armed, rank) {
            (true, ..) => None,
            (false, false, ..) => Some(Order::Arm { version, pass }),
            (false, true, true, 0) => Some(Order::Go { pass }),
            (false, true, ..) => None,
        }
    }
}
