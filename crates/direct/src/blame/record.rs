use std::{sync::Arc, time::Duration};

use group::REFUSAL_TIME;
use tokio::time::Instant;

use super::{CRASH_TTL, CrashId, EARLY_REFUSAL_TIME};

/// Least time between two crashes that both count: endpoints that end together have another cause, unless the
/// request that ran on one of them went there from the other.
const CRASH_SPACING: Duration = Duration::from_millis(200);

/// What is known of a blamed subject.
#[derive(Clone, Debug)]
pub(super) struct Record<K> {
    pub(super) crashes: Vec<Known>,
    pub(super) refusal: Option<Refused<K>>,
}

impl<K> Default for Record<K> {
    fn default() -> Self {
        Self {
            crashes: Vec::new(),
            refusal: None,
        }
    }
}

/// Known crash, with the time at which this entry learned of it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Known {
    pub(super) crash: CrashId,
    pub(super) at: Instant,
    pub(super) heard_at: Instant,
    pub(super) is_repeat: bool,
    /// Number of requests that this entry had had answered by then.
    pub(super) answers: u64,
}

/// Refusal of a class of subjects.
#[derive(Clone, Debug)]
pub(super) struct Refused<K> {
    pub(super) at: Instant,
    /// Number of crashes that it rests on.
    pub(super) crashes: usize,
    /// Subjects that the crashes cannot be told apart by, in order; only requests with all of them are refused.
    pub(super) class: Arc<[K]>,
}

impl<K: PartialEq> Refused<K> {
    /// Returns whether the subject is refused by itself, whatever else a request has.
    pub(super) fn is_single(&self) -> bool {
        self.class.len() == 1
    }

    /// Returns whether the refusal still holds; `max_crashes` is the number that it takes for the full time.
    pub(super) fn is_valid(&self, max_crashes: usize, now: Instant) -> bool {
        let time = match self.crashes < max_crashes {
            true => EARLY_REFUSAL_TIME,
            false => REFUSAL_TIME,
        };
        now.duration_since(self.at) < time
    }

    /// Returns whether it covers a request with these subjects, if `subject` is one of them; of a class only the first one
    /// answers for all.
    pub(super) fn covers(&self, subject: &K, subjects: &[K]) -> bool {
        let is_first = self.class.first() == Some(subject);
        is_first && self.class.iter().all(|member| subjects.contains(member))
    }
}

impl<K> Record<K> {
    /// Adds a crash; returns false if it was known.
    pub(super) fn add(&mut self, crash: Known) -> bool {
        let is_new = self.crashes.iter().all(|known| known.crash != crash.crash);
        if is_new {
            self.crashes.push(crash);
        }
        is_new
    }

    /// Returns what decides which records give way to others: the smallest first.
    pub(super) fn rank(&self) -> (bool, usize, Option<Instant>) {
        let heard_at = self.crashes.iter().map(|known| known.heard_at).max();
        (self.refusal.is_some(), self.crashes.len(), heard_at)
    }

    /// Returns whether the subject is refused, or was, for at least `crashes` crashes.
    pub(super) fn is_refused_for(&self, crashes: usize) -> bool {
        let refusal = self.refusal.as_ref();
        refusal.is_some_and(|refusal| refusal.crashes >= crashes)
    }

    /// Returns whether another process refused the subject, for more crashes than are known here.
    pub(super) fn is_told(&self) -> bool {
        self.is_refused_for(self.crashes.len() + 1)
    }

    /// Returns the crashes that count; those of a subject that was refused before count for as long as that is
    /// remembered.
    pub(super) fn counted(&self, now: Instant) -> Vec<Known> {
        let is_refused = self.refusal.is_some();
        let is_recent = |known: &&Known| is_refused || now.duration_since(known.at) < CRASH_TTL;
        self.crashes.iter().filter(is_recent).copied().collect()
    }
}

/// Returns the number of crashes that lie apart from each other or are repeats.
pub(super) fn count(crashes: &[Known]) -> usize {
    let (repeats, firsts): (Vec<&Known>, _) = crashes.iter().partition(|c| c.is_repeat);
    let mut times: Vec<Instant> = firsts.iter().map(|c| c.at).collect();
    times.sort();
    let (mut count, mut last): (usize, Option<Instant>) = (repeats.len(), None);
    for at in times {
        if last.is_none_or(|last| at.duration_since(last) >= CRASH_SPACING) {
            (count, last) = (count + 1, Some(at));
        }
    }
    count
}
