use std::{collections::HashMap, time::Duration};

use tokio::time::Instant;

use crate::{MAX_REFUSALS, REFUSAL_TIME, Refusal, Refusals, Subject};

/// Time without a message of an entry after which crashes may have been missed, and time for which a refusal is kept that
/// entries no longer tell of.
const CONTACT_TTL: Duration = Duration::from_secs(10);
/// Maximum number of refusals.
const MAX_RECORDS: usize = 1024;

/// Refusals that an agent remembers for entries that start after all others have ended.
///
/// An agent decides nothing by them. A refusal that entries drop, since its subject is sound, is dropped here as well once
/// they have not told of it for some seconds; while no entry tells anything, nothing is dropped.
#[derive(Clone, Debug)]
pub struct Memory {
    records: HashMap<Subject, Record>,
    /// Time since which the agent has been in contact with entries.
    since: Instant,
    /// Time before that of which entries have told it, or in which the fleet did not run.
    before: Duration,
    contact_at: Instant,
}

#[derive(Clone, Debug)]
struct Record {
    /// Age of the refusal at `told_at`.
    age: Duration,
    crashes: u32,
    /// Time at which an entry told of it last.
    told_at: Instant,
}

impl Record {
    fn age(&self, now: Instant) -> Duration {
        self.age + now.duration_since(self.told_at)
    }

    /// Returns whether the refusal counts, for an agent that was in contact with entries until `contact_at`.
    fn is_valid(&self, contact_at: Instant, now: Instant) -> bool {
        contact_at.duration_since(self.told_at) < CONTACT_TTL && self.age(now) < REFUSAL_TIME
    }
}

impl Memory {
    /// Creates the memory of an agent that starts now.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            records: HashMap::new(),
            since: now,
            before: Duration::ZERO,
            contact_at: now,
        }
    }

    /// Takes note that the whole fleet starts for the first time.
    #[must_use]
    pub fn first_start(mut self) -> Self {
        self.before = REFUSAL_TIME;
        self
    }

    /// Records that an entry has sent a message.
    pub fn record_contact(&mut self, now: Instant) {
        if now.duration_since(self.contact_at) >= CONTACT_TTL {
            (self.since, self.before) = (now, Duration::ZERO);
        }
        self.contact_at = now;
    }

    /// Records what an entry knows.
    pub fn record(&mut self, refusals: &Refusals, now: Instant) {
        self.record_contact(now);
        let own = now.duration_since(self.since);
        let told = refusals.memory.min(REFUSAL_TIME).saturating_sub(own);
        self.before = self.before.max(told);
        for refusal in &refusals.refused {
            let known = self.records.contains_key(&refusal.subject);
            if known || self.records.len() < MAX_RECORDS {
                let record = Record {
                    age: refusal.age,
                    crashes: refusal.crashes,
                    told_at: now,
                };
                self.records.insert(refusal.subject.clone(), record);
            }
        }
        let contact_at = self.contact_at;
        self.records
            .retain(|_, record| record.is_valid(contact_at, now));
    }

    /// Returns what the agent knows, for an entry that has started.
    #[must_use]
    pub fn refusals(&self, now: Instant) -> Refusals {
        let refused = self.records.iter();
        let refused = refused.filter(|(_, record)| record.is_valid(self.contact_at, now));
        let refused = refused.map(|(subject, record)| Refusal {
            subject: subject.clone(),
            age: record.age(now),
            crashes: record.crashes,
        });
        let memory = self.before + now.duration_since(self.since);
        Refusals {
            memory: memory.min(REFUSAL_TIME),
            refused: refused.take(MAX_REFUSALS).collect(),
        }
    }
}
