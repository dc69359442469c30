use std::collections::HashMap;

use tokio::time::Instant;

use super::{Subject, limit};

/// Whole answers by subject.
///
/// If there are too many subjects, those that were answered once give way first, then those answered longest ago.
#[derive(Clone, Debug)]
pub(super) struct Answers<K> {
    latest: HashMap<K, Answer>,
    requests: u64,
    /// Number of subjects that were forgotten for others.
    evicted: u64,
}

#[derive(Clone, Copy, Debug)]
struct Answer {
    at: Instant,
    is_repeated: bool,
}

impl Answer {
    /// Returns what decides which answers give way: the smallest first.
    const fn rank(&self) -> (bool, Instant) {
        (self.is_repeated, self.at)
    }
}

impl<K> Default for Answers<K> {
    fn default() -> Self {
        Self {
            latest: HashMap::new(),
            requests: 0,
            evicted: 0,
        }
    }
}

impl<K: Subject> Answers<K> {
    /// Records an answer to a request with these subjects.
    pub(super) fn record_request(&mut self, subjects: &[K], now: Instant) {
        if !subjects.is_empty() {
            self.count_request();
        }
        for subject in subjects {
            self.record(subject, now);
        }
    }

    /// Counts an answered request, here or at another entry.
    pub(super) const fn count_request(&mut self) {
        self.requests += 1;
    }

    /// Records an answer to a subject.
    pub(super) fn record(&mut self, subject: &K, now: Instant) {
        if let Some(answer) = self.latest.get_mut(subject) {
            *answer = Answer {
                at: now,
                is_repeated: true,
            };
            return;
        }
        if self.latest.len() >= K::MAX_ANSWERED {
            self.evicted += limit::evict(&mut self.latest, Answer::rank);
        }
        let answer = Answer {
            at: now,
            is_repeated: false,
        };
        self.latest.insert(subject.clone(), answer);
    }

    /// Records an answer that another entry knows of; returns whether it is news.
    pub(super) fn learn(&mut self, subject: &K, at: Instant) -> bool {
        let is_new = self.latest(subject).is_none_or(|latest| latest < at);
        if is_new {
            self.record(subject, at);
        }
        is_new
    }

    /// Returns when a subject was answered last, if that is remembered.
    pub(super) fn latest(&self, subject: &K) -> Option<Instant> {
        self.latest.get(subject).map(|answer| answer.at)
    }

    /// Returns the number of answered requests since the start, as far as is known.
    pub(super) const fn requests(&self) -> u64 {
        self.requests
    }

    /// Returns the number of subjects that were forgotten for others since the start.
    pub(super) const fn evicted(&self) -> u64 {
        self.evicted
    }

    /// Forgets answers that no longer count.
    pub(super) fn expire(&mut self, now: Instant) {
        self.latest
            .retain(|_, answer| now.duration_since(answer.at) < K::ANSWER_MEMORY);
    }
}
