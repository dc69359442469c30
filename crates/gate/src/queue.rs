use std::{collections::HashMap, time::Duration};

use conf::{Priority, id};
use tokio::time::Instant;

use crate::Descriptor;

/// Virtual time that one attempt of a team of weight 1 takes.
const COST: u64 = 1 << 20;
/// Virtual time that a team which asked for less than its share may catch up.
const CREDIT: u64 = 4 * COST;

/// Attempts that wait: by priority, then start-time fair between teams by weight.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    waiting: Vec<Waiting>,
    lanes: HashMap<Priority, Lane>,
    arrivals: u64,
}

/// Attempt that waits.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    pub(crate) ask: Descriptor,
    /// When it is given up.
    pub(crate) expires: Instant,
    cost: u64,
    start: u64,
    arrival: u64,
}

/// Virtual clock of a priority, and where each team's last attempt ends on it.
#[derive(Clone, Debug)]
struct Lane {
    now: u64,
    ends: HashMap<id::Team, u64>,
}

impl Default for Lane {
    fn default() -> Self {
        Self {
            now: CREDIT,
            ends: HashMap::new(),
        }
    }
}

impl Queue {
    /// Returns how many wait.
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns how many would be served before a new attempt of a priority at the latest.
    pub(crate) fn ahead(&self, priority: Priority) -> usize {
        let before = self.waiting.iter().filter(|w| w.ask.priority <= priority);
        before.count()
    }

    /// Adds an attempt that may wait for a time.
    pub(crate) fn push(&mut self, ask: Descriptor, weight: u32, wait: Duration, now: Instant) {
        let cost = COST / u64::from(weight.max(1));
        let lane = self.lanes.entry(ask.priority).or_default();
        let end = lane.ends.entry(ask.team.clone()).or_default();
        let start = (lane.now - CREDIT).max(*end);
        *end = start + cost;
        self.arrivals += 1;
        self.waiting.push(Waiting {
            expires: ask.deadline.min(now + wait),
            ask,
            cost,
            start,
            arrival: self.arrivals,
        });
    }

    /// Takes the next attempt that `fits`.
    pub(crate) fn pop(&mut self, fits: impl Fn(&Descriptor) -> bool) -> Option<Descriptor> {
        let fitting = self
            .waiting
            .iter()
            .enumerate()
            .filter(|(_, w)| fits(&w.ask));
        let (index, _) = fitting.min_by_key(|(_, w)| w.rank())?;
        let next = self.waiting.swap_remove(index);
        if let Some(lane) = self.lanes.get_mut(&next.ask.priority) {
            lane.now = lane.now.max(next.start);
        }
        if self.waiting.is_empty() {
            self.lanes.clear();
        }
        Some(next.ask)
    }

    /// Takes out the attempt that is to be served last.
    pub(crate) fn shed(&mut self) -> Option<Descriptor> {
        let all = self.waiting.iter().enumerate();
        let (index, _) = all.max_by_key(|(_, w)| w.rank())?;
        Some(self.remove(index))
    }

    /// Takes out those whose time is up.
    pub(crate) fn expire(&mut self, now: Instant) -> Vec<Descriptor> {
        self.take(|w| w.expires <= now)
    }

    /// Takes out those that match.
    pub(crate) fn take(&mut self, matches: impl Fn(&Waiting) -> bool) -> Vec<Descriptor> {
        let mut taken = Vec::new();
        while let Some(index) = self.waiting.iter().position(&matches) {
            taken.push(self.remove(index));
        }
        taken
    }

    /// Takes one out unserved; its team's later attempts move up.
    fn remove(&mut self, index: usize) -> Descriptor {
        let gone = self.waiting.swap_remove(index);
        let (priority, team) = (gone.ask.priority, &gone.ask.team);
        let later = self.waiting.iter_mut().filter(|w| {
            w.ask.priority == priority && w.ask.team == *team && w.arrival > gone.arrival
        });
        for waiting in later {
            waiting.start -= gone.cost.min(waiting.start);
        }
        let lane = self.lanes.get_mut(&priority);
        if let Some(end) = lane.and_then(|lane| lane.ends.get_mut(team)) {
            *end -= gone.cost.min(*end);
        }
        gone.ask
    }
}

impl Waiting {
    fn rank(&self) -> (Priority, u64, u64) {
        (self.ask.priority, self.start, self.arrival)
    }
}
