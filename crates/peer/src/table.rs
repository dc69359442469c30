use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use conf::id;
use tokio::time::Instant;
use wire::Member;

/// Time without a heartbeat after which a process counts as unreachable.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(3);
/// Time without a heartbeat after which a process is removed from the table.
const REMOVAL_TIMEOUT: Duration = Duration::from_secs(600);

/// Reachability of a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// A heartbeat or a first report arrived recently.
    Up,
    /// No heartbeat arrived for 3 s, or the link to the process broke.
    Unreachable,
    /// The process is shutting down; only a later incarnation ends this state.
    Leaving,
}

/// Effect of a message on the table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// The process was unknown.
    New,
    /// The process has a later incarnation and has lost what it held in memory.
    Restarted,
    /// The process is reachable again in the same incarnation.
    Recovered,
    /// The process has begun to shut down.
    Leaving,
    /// Only the time of the last heartbeat changed.
    Refreshed,
    /// The message is about an earlier incarnation, or adds nothing to what is known of this one;
    /// it is ignored.
    Stale,
}

#[derive(Clone, Debug)]
struct Known {
    member: Member,
    state: State,
    last_heartbeat: Instant,
}

/// Known processes, each in its latest incarnation.
#[derive(Clone, Debug, Default)]
pub struct Table {
    known: BTreeMap<id::Process, Known>,
}

impl Table {
    /// Records what a process reports about itself; an earlier incarnation never replaces a later
    /// one.
    pub fn record_heartbeat(&mut self, member: Member, now: Instant) -> Change {
        let change = self.compare(&member);
        if change == Change::Stale {
            return change;
        }
        let state = if member.leaving {
            State::Leaving
        } else {
            State::Up
        };
        let known = Known {
            member,
            state,
            last_heartbeat: now,
        };
        self.known.insert(known.member.process.clone(), known);
        change
    }

    /// Merges what a process reports about another one.
    ///
    /// Such a report never makes an unreachable process reachable in the same incarnation.
    pub fn merge(&mut self, member: Member, now: Instant) -> Change {
        let change = self.compare(&member);
        match change {
            Change::New | Change::Restarted | Change::Leaving => self.record_heartbeat(member, now),
            _ => Change::Stale,
        }
    }

    fn compare(&self, member: &Member) -> Change {
        let Some(known) = self.known.get(&member.process) else {
            return Change::New;
        };
        let leaving = known.state == State::Leaving;
        match member.incarnation.cmp(&known.member.incarnation) {
            std::cmp::Ordering::Less => Change::Stale,
            std::cmp::Ordering::Greater => Change::Restarted,
            std::cmp::Ordering::Equal if leaving && !member.leaving => Change::Stale,
            std::cmp::Ordering::Equal if member.leaving && !leaving => Change::Leaving,
            std::cmp::Ordering::Equal if known.state == State::Unreachable => Change::Recovered,
            std::cmp::Ordering::Equal => Change::Refreshed,
        }
    }

    /// Marks the processes at an address as unreachable after the link to it broke.
    pub fn mark_unreachable(&mut self, address: SocketAddr) {
        for known in self.known.values_mut() {
            if known.member.address == address && known.state == State::Up {
                known.state = State::Unreachable;
            }
        }
    }

    /// Marks processes whose heartbeats have stopped as unreachable, and later removes them.
    pub fn tick(&mut self, now: Instant) {
        self.known
            .retain(|_, known| now.duration_since(known.last_heartbeat) < REMOVAL_TIMEOUT);
        for known in self.known.values_mut() {
            if known.state == State::Up
                && now.duration_since(known.last_heartbeat) >= HEARTBEAT_TIMEOUT
            {
                known.state = State::Unreachable;
            }
        }
    }

    /// Returns the state of a process, or `None` if it is unknown.
    #[must_use]
    pub fn state(&self, process: &str) -> Option<State> {
        self.known.get(process).map(|known| known.state)
    }

    /// Returns the processes that are not unreachable, sorted by name.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        let reachable = |known: &&Known| known.state != State::Unreachable;
        let known = self.known.values().filter(reachable);
        known.map(|known| known.member.clone()).collect()
    }
}
