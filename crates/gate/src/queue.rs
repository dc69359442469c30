use std::{collections::HashMap, time::Duration};

use conf::{Priority, id};
use tokio::time::Instant;

use crate::Descriptor;

/// Virtual time that one attempt of a team of weight 1 takes.
const UNIT_COST: u64 = 1 << 20;
/// Virtual time by which a team that used less than its share may start before the others.
const MAX_CREDIT: u64 = 4 * UNIT_COST;

/// Queue of attempts: strict by priority, then start-time fair queueing between weighted teams.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    items: Vec<Item>,
    clocks: HashMap<Priority, Clock>,
    /// Number of attempts added so far.
    arrivals: u64,
}

/// Queued attempt.
#[derive(Clone, Debug)]
pub(crate) struct Item {
    pub(crate) descriptor: Descriptor,
    /// Time at which it is refused if it has not been admitted.
    expires: Instant,
    /// Virtual time that it takes.
    cost: u64,
    /// Virtual time at which it starts.
    start: u64,
    /// Sequence number that orders equal start times.
    arrival: u64,
}

/// Virtual clock of one priority.
#[derive(Clone, Debug)]
struct Clock {
    now: u64,
    /// Virtual time at which the last attempt of each team finishes.
    finish_times: HashMap<id::Team, u64>,
}

impl Default for Clock {
    fn default() -> Self {
        Self {
            now: MAX_CREDIT,
            finish_times: HashMap::new(),
        }
    }
}

impl Queue {
    /// Returns the number of queued attempts.
    pub(crate) fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns the largest number of attempts that may be served before a new one of a priority.
    pub(crate) fn count_ahead(&self, priority: Priority) -> usize {
        let ahead = self.items.iter();
        ahead
            .filter(|item| item.descriptor.priority <= priority)
            .count()
    }

    /// Adds an attempt of a team of `weight`, which expires after `max_wait` or at its deadline.
    pub(crate) fn push(
        &mut self,
        descriptor: Descriptor,
        weight: u32,
        max_wait: Duration,
        now: Instant,
    ) {
        let cost = UNIT_COST / u64::from(weight.max(1));
        let clock = self.clocks.entry(descriptor.priority).or_default();
        let finish = clock
            .finish_times
            .entry(descriptor.team.clone())
            .or_default();
        let start = (clock.now - MAX_CREDIT).max(*finish);
        *finish = start + cost;
        self.arrivals += 1;
        self.items.push(Item {
            expires: descriptor.deadline.min(now + max_wait),
            descriptor,
            cost,
            start,
            arrival: self.arrivals,
        });
    }

    /// Removes and returns the first attempt for which `may_run` holds.
    pub(crate) fn pop(&mut self, may_run: impl Fn(&Descriptor) -> bool) -> Option<Descriptor> {
        let runnable = self
            .items
            .iter()
            .enumerate()
            .filter(|(_, item)| may_run(&item.descriptor));
        let (index, _) = runnable.min_by_key(|(_, item)| item.sort_key())?;
        let next = self.items.swap_remove(index);
        if let Some(clock) = self.clocks.get_mut(&next.descriptor.priority) {
            clock.now = clock.now.max(next.start);
        }
        if self.items.is_empty() {
            self.clocks.clear();
        }
        Some(next.descriptor)
    }

    /// Removes and returns the attempt that would be served last.
    pub(crate) fn remove_last(&mut self) -> Option<Descriptor> {
        let all = self.items.iter().enumerate();
        let (index, _) = all.max_by_key(|(_, item)| item.sort_key())?;
        Some(self.remove(index))
    }

    /// Removes and returns the attempts that have expired.
    pub(crate) fn remove_expired(&mut self, now: Instant) -> Vec<Descriptor> {
        self.remove_matching(|item| item.expires <= now)
    }

    /// Removes and returns the attempts that match.
    pub(crate) fn remove_matching(&mut self, matches: impl Fn(&Item) -> bool) -> Vec<Descriptor> {
        let mut removed = Vec::new();
        while let Some(index) = self.items.iter().position(&matches) {
            removed.push(self.remove(index));
        }
        removed
    }

    /// Removes an attempt that was not served, and gives its cost back to its team: the team's
    /// later attempts start earlier by it.
    fn remove(&mut self, index: usize) -> Descriptor {
        let removed = self.items.swap_remove(index);
        let (priority, team) = (removed.descriptor.priority, &removed.descriptor.team);
        let later = self.items.iter_mut().filter(|item| {
            item.descriptor.priority == priority
                && item.descriptor.team == *team
                && item.arrival > removed.arrival
        });
        for item in later {
            item.start -= removed.cost.min(item.start);
        }
        let clock = self.clocks.get_mut(&priority);
        if let Some(finish) = clock.and_then(|clock| clock.finish_times.get_mut(team)) {
            *finish -= removed.cost.min(*finish);
        }
        removed.descriptor
    }
}

impl Item {
    fn sort_key(&self) -> (Priority, u64, u64) {
        (self.descriptor.priority, self.start, self.arrival)
    }
}
