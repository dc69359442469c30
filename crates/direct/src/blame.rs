//! Finds what crashes endpoints: requests, and parts of their prompts.

mod news;
mod record;
mod subject;

use std::{cmp::Reverse, collections::HashMap, time::Duration};

use conf::id;
use group::{REFUSAL_TIME, Refusal};
use rand::seq::IteratorRandom as _;
use tokio::time::Instant;
use xxhash_rust::xxh3::Xxh3;

use self::record::{Known, Record};
pub use self::{
    news::{Crash, CrashId, News, Verdict},
    subject::{Fingerprint, Part, Subject},
};
use crate::departures::Incarnation;

/// Time for which a crash counts against a subject.
const CRASH_TTL: Duration = Duration::from_secs(60);
/// Time for which a subject is refused after a single crash; a second one within [`REFUSAL_TIME`] counts with the first.
const EARLY_REFUSAL_TIME: Duration = Duration::from_secs(60);
/// Time between the break of a connection and the sign that its endpoint has ended: the store drops the
/// registration of a silent endpoint after three of its heartbeats.
const SIGN_TIME: Duration = Duration::from_secs(5);
/// Age up to which crashes and rebuttals are told to other entries.
const REPORT_SPAN: Duration = Duration::from_secs(2);
/// Maximum number of blamed subjects, and of breaks that are remembered.
const MAX_RECORDS: usize = 2048;
/// Maximum number of subjects whose answers are remembered.
const MAX_ANSWERED: usize = 4096;
/// Maximum number of entries in each list of [`News`], so that they fit into one packet.
const MAX_NEWS: usize = 16;

/// Finds the subjects under which endpoints crash: requests, and parts of their prompts, whatever else a request
/// holds.
///
/// A subject is blamed if a connection broke before the answer to a request with it was whole, and, where
/// [`Subject::NEEDS_SIGN`], the endpoint turns out to have ended. Each crash counts once, however many requests and
/// entries it concerned. Whatever crashes each endpoint is never answered, so a whole answer proves a subject sound:
/// that tells what merely ran at an endpoint that ended from what ended it.
#[derive(Clone, Debug)]
pub struct Blame<K> {
    records: HashMap<K, Record>,
    /// Connections that broke, until there is a sign that the endpoint has ended.
    breaks: Vec<Break<K>>,
    /// Endpoints that ended.
    ended: HashMap<(id::Endpoint, Incarnation), Instant>,
    /// Subjects that were answered, with the time of the latest answer.
    answered: HashMap<K, Instant>,
    /// Blamed subjects that are known to be sound, for other entries.
    rebuttals: Vec<(K, Instant)>,
    verdicts: Vec<Verdict<K>>,
}

#[derive(Clone, Debug)]
struct Break<K> {
    endpoint: id::Endpoint,
    incarnation: Incarnation,
    subjects: Vec<K>,
    at: Instant,
    is_repeat: bool,
}

impl<K> Default for Blame<K> {
    fn default() -> Self {
        Self {
            records: HashMap::new(),
            breaks: Vec::new(),
            ended: HashMap::new(),
            answered: HashMap::new(),
            rebuttals: Vec::new(),
            verdicts: Vec::new(),
        }
    }
}

/// # Decisions
impl<K: Subject> Blame<K> {
    /// Returns the first of a request's subjects that is refused.
    #[must_use]
    pub fn find_refused<'a>(&self, subjects: &'a [K], now: Instant) -> Option<&'a K> {
        subjects.iter().find(|subject| {
            let record = self.records.get(*subject);
            record.is_some_and(|record| {
                let is_recent = |at| now.duration_since(at) < refusal_time::<K>(record.refused_for);
                record.refused_at.is_some_and(is_recent)
            })
        })
    }

    /// Returns the changes of what is refused since the last call.
    pub fn take_verdicts(&mut self) -> Vec<Verdict<K>> {
        std::mem::take(&mut self.verdicts)
    }

    /// Returns the number of crashes after which a subject is refused.
    fn max_crashes(&self, subject: &K, now: Instant) -> usize {
        match self.is_answered(subject, now) {
            true => K::MAX_CRASHES_IF_ANSWERED,
            false => K::MAX_CRASHES,
        }
    }

    /// Returns whether a whole answer to the subject is remembered.
    fn is_answered(&self, subject: &K, now: Instant) -> bool {
        let last = self.answered.get(subject);
        last.is_some_and(|last| now.duration_since(*last) < K::ANSWER_MEMORY)
    }

    /// Returns whether a subject was answered after a time, or shortly before.
    fn is_sound(&self, subject: &K, at: Instant) -> bool {
        let last = self.answered.get(subject);
        last.is_some_and(|last| *last + K::SOUND_TIME > at)
    }
}

/// # Events
impl<K: Subject> Blame<K> {
    /// Records that an endpoint has written the whole answer to a request with these subjects.
    pub fn record_sound(&mut self, subjects: &[K], now: Instant) {
        for subject in subjects {
            if self.answered.len() < MAX_ANSWERED || self.answered.contains_key(subject) {
                self.answered.insert(subject.clone(), now);
            }
            if self.clear(subject) {
                self.rebut(subject, now);
            }
        }
    }

    /// Records that the connection to an endpoint broke before the answer to a request with these subjects was
    /// whole; `is_repeat` if the request had been sent on after another break.
    pub fn record_break(
        &mut self,
        endpoint: &id::Endpoint,
        incarnation: Incarnation,
        subjects: &[K],
        is_repeat: bool,
        now: Instant,
    ) {
        if subjects.is_empty() {
            return;
        }
        if !K::NEEDS_SIGN || self.ended.contains_key(&(endpoint.clone(), incarnation)) {
            let known = Known {
                crash: crash_id(endpoint, incarnation),
                at: now,
                heard_at: now,
                is_repeat,
            };
            self.blame(subjects, known);
        } else if self.breaks.len() < MAX_RECORDS {
            self.breaks.push(Break {
                endpoint: endpoint.clone(),
                incarnation,
                subjects: subjects.to_vec(),
                at: now,
                is_repeat,
            });
        }
    }

    /// Records a sign that an endpoint has ended: it cannot be reached, another one has its address, or
    /// others name it as lost.
    pub fn record_end(&mut self, endpoint: &id::Endpoint, incarnation: Incarnation, now: Instant) {
        self.ended.insert((endpoint.clone(), incarnation), now);
        let is_of = |b: &Break<K>| b.endpoint == *endpoint && b.incarnation == incarnation;
        let (found, others) = std::mem::take(&mut self.breaks)
            .into_iter()
            .partition(is_of);
        self.breaks = others;
        for found in found {
            let known = Known {
                crash: crash_id(endpoint, incarnation),
                at: found.at,
                heard_at: now,
                is_repeat: found.is_repeat,
            };
            self.blame(&found.subjects, known);
        }
    }

    /// Refuses subjects under which an endpoint has ended, unless an answer to them is remembered: a single crash is
    /// enough while earlier ones may be unknown.
    pub fn refuse_early(&mut self, subjects: &[K], now: Instant) {
        for subject in subjects {
            if self.is_answered(subject, now) {
                continue;
            }
            let Some(record) = self.record(subject) else {
                return;
            };
            if record.refused_at.is_none() {
                record.refuse(now, 1);
                self.verdicts.push(Verdict::RefusedEarly(subject.clone()));
            }
        }
    }

    /// Lists the endpoints at which connections broke lately, for which there is no sign of an end yet.
    #[must_use]
    pub fn doubtful_endpoints(&self) -> Vec<(id::Endpoint, Incarnation)> {
        let endpoints = self.breaks.iter();
        endpoints
            .map(|b| (b.endpoint.clone(), b.incarnation))
            .collect()
    }

    /// Removes what no longer counts.
    pub fn expire(&mut self, now: Instant) {
        let is_recent = |at: Instant, span| now.duration_since(at) < span;
        self.breaks.retain(|b| is_recent(b.at, SIGN_TIME));
        self.ended.retain(|_, at| is_recent(*at, SIGN_TIME));
        self.answered
            .retain(|_, at| is_recent(*at, K::ANSWER_MEMORY));
        self.rebuttals.retain(|(_, at)| is_recent(*at, REPORT_SPAN));
        self.records.retain(|_, record| match record.refused_at {
            Some(at) => is_recent(at, REFUSAL_TIME),
            None => {
                record.crashes.retain(|c| is_recent(c.at, CRASH_TTL));
                !record.crashes.is_empty()
            }
        });
    }

    /// Counts a crash against subjects that are not known to be sound.
    fn blame(&mut self, subjects: &[K], crash: Known) {
        for subject in subjects {
            if self.is_sound(subject, crash.at) {
                continue;
            }
            let max_crashes = self.max_crashes(subject, crash.heard_at);
            let Some(record) = self.record(subject) else {
                return;
            };
            if !record.add(crash) {
                continue;
            }
            let count = record.count(crash.heard_at);
            if !record.is_refused_for(K::MAX_CRASHES) && count >= max_crashes {
                record.refuse(crash.heard_at, count);
                self.verdicts.push(Verdict::Refused(subject.clone()));
            }
        }
    }

    /// Returns the record of a subject, or `None` if there are too many.
    fn record(&mut self, subject: &K) -> Option<&mut Record> {
        if self.records.len() >= MAX_RECORDS && !self.records.contains_key(subject) {
            return None;
        }
        Some(self.records.entry(subject.clone()).or_default())
    }

    /// Drops the blame of a subject; returns whether there was any.
    fn clear(&mut self, subject: &K) -> bool {
        let Some(record) = self.records.remove(subject) else {
            return false;
        };
        if record.refused_at.is_some() {
            self.verdicts.push(Verdict::Sound(subject.clone()));
        }
        true
    }

    fn rebut(&mut self, subject: &K, now: Instant) {
        self.rebuttals.retain(|(known, _)| known != subject);
        self.rebuttals.push((subject.clone(), now));
    }
}

/// # Other entries
impl<K: Subject> Blame<K> {
    /// Returns what other entries need to know: what is close to being refused first, then the newest.
    #[must_use]
    pub fn news(&self, now: Instant) -> News<K> {
        let is_recent = |at: Instant| now.duration_since(at) < REPORT_SPAN;
        let mut crashes: Vec<(&K, &Known, usize)> = Vec::new();
        for (subject, record) in &self.records {
            let recent = record.crashes.iter().filter(|c| is_recent(c.heard_at));
            crashes.extend(recent.map(|known| (subject, known, record.crashes.len())));
        }
        crashes.sort_by_key(|(_, known, count)| Reverse((*count, known.heard_at)));
        let crashes = crashes.into_iter().map(|(subject, known, _)| Crash {
            subject: subject.clone(),
            crash: known.crash,
            age: now.duration_since(known.at),
            is_repeat: known.is_repeat,
        });
        let sound = self.rebuttals.iter().rev();
        let sound = sound.filter(|(_, at)| is_recent(*at));
        News {
            crashes: crashes.take(MAX_NEWS).collect(),
            refused: self.refusals(MAX_NEWS, now),
            sound: sound
                .map(|(subject, _)| subject.clone())
                .take(MAX_NEWS)
                .collect(),
        }
    }

    /// Applies what another entry tells; the entry's own experience that a subject is sound goes first.
    pub fn merge(&mut self, news: &News<K>, now: Instant) {
        for subject in &news.sound {
            self.answered.insert(subject.clone(), now);
            self.clear(subject);
        }
        let blamed = news.crashes.iter().map(|crash| (&crash.subject, crash.age));
        let refused = news.refused.iter().map(|r| (&r.subject, r.age));
        for (subject, age) in blamed.chain(refused) {
            let at = now.checked_sub(age).unwrap_or(now);
            if self.is_sound(subject, at) && !news.sound.contains(subject) {
                self.rebut(subject, now);
            }
        }
        for crash in &news.crashes {
            let known = Known {
                crash: crash.crash,
                at: now.checked_sub(crash.age).unwrap_or(now),
                heard_at: now,
                is_repeat: crash.is_repeat,
            };
            self.blame(std::slice::from_ref(&crash.subject), known);
        }
        for refusal in &news.refused {
            self.merge_refusal(refusal, now);
        }
    }

    /// Lists up to `limit` refused subjects, a sample if they are more.
    #[must_use]
    pub fn refusals(&self, limit: usize, now: Instant) -> Vec<Refusal<K>> {
        let refused = self.records.iter().filter_map(|(subject, record)| {
            let age = now.duration_since(record.refused_at?);
            (age < REFUSAL_TIME).then(|| Refusal {
                subject: subject.clone(),
                age,
                crashes: record.refused_for,
            })
        });
        // A sample, so that all are told in some messages.
        refused.sample(&mut rand::rng(), limit)
    }

    /// Applies what another process tells of a refused subject.
    pub fn merge_refusal(&mut self, refusal: &Refusal<K>, now: Instant) {
        let Refusal {
            subject,
            age,
            crashes,
        } = refusal;
        let at = now.checked_sub(*age).unwrap_or(now);
        let count = usize::try_from(*crashes).unwrap_or(usize::MAX);
        if *age >= REFUSAL_TIME
            || self.is_sound(subject, at)
            || self.is_answered(subject, now) && count < K::MAX_CRASHES_IF_ANSWERED
        {
            return;
        }
        let Some(record) = self.record(subject) else {
            return;
        };
        if !record.is_refused_for(count.min(K::MAX_CRASHES)) {
            record.refuse(at, count);
            self.verdicts.push(match count < K::MAX_CRASHES {
                true => Verdict::RefusedEarly(subject.clone()),
                false => Verdict::Refused(subject.clone()),
            });
        }
    }
}

/// Returns the time for which a subject is refused after `crashes` crashes.
fn refusal_time<K: Subject>(crashes: u32) -> Duration {
    match usize::try_from(crashes) {
        Ok(crashes) if crashes < K::MAX_CRASHES => EARLY_REFUSAL_TIME,
        _ => REFUSAL_TIME,
    }
}

/// Returns the id of an endpoint's crash, which all entries derive alike.
fn crash_id(endpoint: &id::Endpoint, incarnation: Incarnation) -> CrashId {
    // Hashed as data: as a seed, the incarnation could cancel out differences between short endpoint ids.
    let mut hash = Xxh3::new();
    hash.update(endpoint.as_bytes());
    hash.update(&incarnation.to_le_bytes());
    // The upper half is as random as the whole.
    (hash.digest() >> 32) as CrashId
}
