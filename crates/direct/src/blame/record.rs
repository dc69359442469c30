use std::time::Duration;

use group::REFUSAL_TIME;
use tokio::time::Instant;

use super::{CRASH_TTL, CrashId};

/// Least time between two crashes that both count: endpoints that end together have another cause, unless the
/// request that ran on one of them went there from the other.
const CRASH_SPACING: Duration = Duration::from_millis(200);

/// What is known of a blamed subject.
#[derive(Clone, Debug, Default)]
pub(super) struct Record {
    pub(super) crashes: Vec<Known>,
    pub(super) refused_at: Option<Instant>,
    /// Number of crashes for which the subject is refused.
    pub(super) refused_for: u32,
}

/// Known crash, with the time at which this entry learned of it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Known {
    pub(super) crash: CrashId,
    pub(super) at: Instant,
    pub(super) heard_at: Instant,
    pub(super) is_repeat: bool,
}

impl Record {
    /// Adds a crash; returns false if it was known.
    pub(super) fn add(&mut self, crash: Known) -> bool {
        let is_new = self.crashes.iter().all(|known| known.crash != crash.crash);
        if is_new {
            self.crashes.push(crash);
        }
        is_new
    }

    /// Refuses the subject after `crashes` crashes.
    pub(super) fn refuse(&mut self, at: Instant, crashes: usize) {
        self.refused_at = Some(at);
        self.refused_for = u32::try_from(crashes).unwrap_or(u32::MAX);
    }

    /// Returns whether the subject is refused, or was, for at least `crashes` crashes.
    pub(super) fn is_refused_for(&self, crashes: usize) -> bool {
        let refused_for = usize::try_from(self.refused_for).unwrap_or(usize::MAX);
        self.refused_at.is_some() && refused_for >= crashes
    }

    /// Returns the number of recent crashes that lie apart from each other or are repeats; those of a subject that was
    /// refused before count for as long as that is remembered.
    pub(super) fn count(&self, now: Instant) -> usize {
        let ttl = self.refused_at.map_or(CRASH_TTL, |_| REFUSAL_TIME);
        let recent = self.crashes.iter();
        let recent = recent.filter(|c| now.duration_since(c.at) < ttl);
        let (repeats, firsts): (Vec<&Known>, _) = recent.partition(|c| c.is_repeat);
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
}
