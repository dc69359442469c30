use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    Order, Report,
    engine::{Epoch, Pass, Version},
};

/// A change of maps that a leader has decided: every rank has prepared the map.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Decision {
    /// Life of the group.
    pub epoch: Epoch,
    /// The map.
    pub version: Version,
    /// Address of each rank's engine.
    pub engines: Vec<SocketAddr>,
}

/// Completes a decided change of maps in place of an agent that is silent.
///
/// It repeats the orders that follow from the decision and gives no others, so any number of agents
/// may do so while the leader does the same.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Finish {
    decision: Decision,
    /// Pass that the first rank holds, with which the map comes into force.
    held: Option<Pass>,
    armed: Vec<bool>,
    done: bool,
}

impl Finish {
    /// Creates the completion of a decision, with nothing known of the ranks.
    #[must_use]
    pub fn new(decision: Decision) -> Self {
        Self {
            armed: vec![false; decision.engines.len()],
            held: None,
            done: decision.engines.is_empty(),
            decision,
        }
    }

    /// Returns the decision.
    #[must_use]
    pub const fn decision(&self) -> &Decision {
        &self.decision
    }

    /// Returns whether the first rank is known to hold a pass.
    #[must_use]
    pub const fn is_held(&self) -> bool {
        self.held.is_some()
    }

    /// Returns whether the held pass has begun or the group has broken up.
    #[must_use]
    pub const fn is_done(&self) -> bool {
        self.done
    }

    /// Takes in what a rank's engine reports, which may be some hundred milliseconds old.
    pub fn tell(&mut self, rank: usize, report: &Report) {
        let epoch = report.group.as_ref().map(|group| group.epoch);
        if rank == 0 {
            self.held = self.held.or(report.held);
        }
        let begun = self.held.is_some_and(|pass| report.pass >= pass);
        self.done |= epoch != Some(self.decision.epoch) || begun;
        // A rank stays armed until the pass begins, so that an old report is as good as a new one.
        let version = self.decision.version;
        if let Some(armed) = self.armed.get_mut(rank) {
            *armed |= report.armed == Some(version) || report.map == version;
        }
    }

    /// Returns the order that a rank's engine needs; none before the first rank has told which pass it
    /// holds.
    #[must_use]
    pub fn order(&self, rank: usize) -> Option<Order> {
        let version = self.decision.version;
        let pass = self.held?;
        let armed = *self.armed.get(rank)?;
        let all = self.armed.iter().all(|armed| *armed);
        match (self.done, armed, all, rank) {
            (true, ..) => None,
            (false, false, ..) => Some(Order::Arm { version, pass }),
            (false, true, true, 0) => Some(Order::Go { pass }),
            (false, true, ..) => None,
        }
    }
}
