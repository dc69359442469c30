use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use conf::id;
use tokio::time::Instant;
use wire::Member;

/// Silence after which a process counts as failed.
const SILENCE: Duration = Duration::from_secs(3);
/// Silence after which a process is forgotten.
const FORGET: Duration = Duration::from_secs(600);

/// Says what is known of a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// It was heard of lately.
    Up,
    /// It was silent for too long, or its link broke.
    Unreachable,
    /// It is shutting down; only a later life takes that back.
    Leaving,
}

/// Says what a message changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// The process was not known.
    New,
    /// The process is in a later life: what it held in memory is gone.
    Restarted,
    /// The process is back in the same life after a silence.
    Recovered,
    /// The process began to leave.
    Leaving,
    /// Nothing but the time that it was heard.
    Refreshed,
    /// The message was about an older life, or older than what is known of this one.
    Stale,
}

#[derive(Clone, Debug)]
struct Known {
    member: Member,
    state: State,
    heard: Instant,
}

/// Keeps the processes that were heard of, each in its newest life.
#[derive(Clone, Debug, Default)]
pub struct Table {
    known: BTreeMap<id::Process, Known>,
}

impl Table {
    /// Takes in what a process said about itself; an older life never replaces a newer one.
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
            heard: now,
        };
        self.known.insert(known.member.process.clone(), known);
        change
    }

    /// Takes in what a process said about another: it never ends a silence.
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

    /// Takes in that the link to an address broke.
    pub fn mark_unreachable(&mut self, address: SocketAddr) {
        for known in self.known.values_mut() {
            if known.member.address == address && known.state == State::Up {
                known.state = State::Unreachable;
            }
        }
    }

    /// Marks those that were silent for too long, and forgets those that were so for very long.
    pub fn tick(&mut self, now: Instant) {
        self.known
            .retain(|_, known| now.duration_since(known.heard) < FORGET);
        for known in self.known.values_mut() {
            if known.state == State::Up && now.duration_since(known.heard) >= SILENCE {
                known.state = State::Unreachable;
            }
        }
    }

    /// Returns what is known of a process.
    #[must_use]
    pub fn state(&self, process: &str) -> Option<State> {
        self.known.get(process).map(|known| known.state)
    }

    /// Returns the processes that are not known to have failed, in the order of their names.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        let well = |known: &&Known| known.state != State::Unreachable;
        let known = self.known.values().filter(well);
        known.map(|known| known.member.clone()).collect()
    }
}
