//! Finds what crashes endpoints: requests, and parts of their prompts.

mod answers;
mod exchange;
mod judge;
mod limit;
mod news;
mod record;
mod subject;

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use conf::id;
use group::REFUSAL_TIME;
use tokio::time::Instant;
use xxhash_rust::xxh3::Xxh3;

pub(crate) use self::subject::list_parts;
use self::{
    answers::Answers,
    judge::{Class, Standing, Suspect},
    record::{Known, Record, Refused},
};
pub use self::{
    news::{Answered, Crash, CrashId, News, Verdict},
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
/// Maximum number of subjects of connections that broke, whose endpoints have not been found to have ended.
const MAX_BREAK_SUBJECTS: usize = 65_536;
/// Maximum number of crashes that are remembered by themselves.
const MAX_KNOWN_CRASHES: usize = 4096;

/// Finds the subjects under which endpoints crash: requests, and parts of their prompts, whatever else a request
/// holds.
///
/// A subject is blamed if a connection broke before the answer to a request with it was whole, and, where
/// [`Subject::NEEDS_SIGN`], the endpoint turns out to have ended. Each crash counts once, however many requests and
/// entries it concerned. Whatever crashes each endpoint is never answered, so a whole answer proves a subject sound:
/// that tells what merely ran at an endpoint that ended from what ended it.
///
/// Of the parts of a request one explains its crashes: the part that most crashes have in common, and of equal ones the part
/// that was never answered. Where several are left, only a request with all of them is refused. The others show, by an
/// answer or a further crash, which part it is.
#[derive(Clone, Debug)]
pub struct Blame<K> {
    records: HashMap<K, Record<K>>,
    /// Crashes that were heard of lately, those of sound subjects included.
    crashes: HashMap<CrashId, Known>,
    /// Connections that broke, until there is a sign that the endpoint has ended.
    breaks: Vec<Break<K>>,
    /// Endpoints that ended.
    ended: HashMap<(id::Endpoint, Incarnation), Instant>,
    answers: Answers<K>,
    /// Blamed subjects that are known to be sound, for other entries.
    rebuttals: HashMap<K, Instant>,
    verdicts: Vec<Verdict<K>>,
    evicted: Evicted,
}

/// Numbers of what was forgotten for lack of room, since the start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Evicted {
    /// Subjects whose answers were forgotten.
    pub answers: u64,
    /// Broken connections.
    pub breaks: u64,
    /// Blamed subjects.
    pub suspects: u64,
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
            crashes: HashMap::new(),
            breaks: Vec::new(),
            ended: HashMap::new(),
            answers: Answers::default(),
            rebuttals: HashMap::new(),
            verdicts: Vec::new(),
            evicted: Evicted::default(),
        }
    }
}

/// # Decisions
impl<K: Subject> Blame<K> {
    /// Returns the first of a request's subjects for which the request is refused.
    #[must_use]
    pub fn find_refused<'a>(&self, subjects: &'a [K], now: Instant) -> Option<&'a K> {
        subjects.iter().find(|subject| {
            let record = self.records.get(*subject);
            let refusal = record.and_then(|record| record.refusal.as_ref());
            refusal.is_some_and(|refusal| {
                refusal.is_valid(K::MAX_CRASHES, now) && refusal.covers(subject, subjects)
            })
        })
    }

    /// Returns the changes of what is refused since the last call.
    pub fn take_verdicts(&mut self) -> Vec<Verdict<K>> {
        std::mem::take(&mut self.verdicts)
    }

    /// Returns how much was forgotten for lack of room.
    #[must_use]
    pub const fn evicted(&self) -> Evicted {
        Evicted {
            answers: self.answers.evicted(),
            ..self.evicted
        }
    }

    /// Returns whether a whole answer to the subject is remembered.
    fn is_answered(&self, subject: &K, now: Instant) -> bool {
        let latest = self.answers.latest(subject);
        latest.is_some_and(|latest| now.duration_since(latest) < K::ANSWER_MEMORY)
    }

    /// Returns whether a subject was answered after a time.
    fn is_sound(&self, subject: &K, at: Instant) -> bool {
        self.answers
            .latest(subject)
            .is_some_and(|latest| latest > at)
    }

    /// Returns what earlier answers to a blamed subject say.
    fn standing(&self, subject: &K, record: &Record<K>, now: Instant) -> Standing {
        let is_past = |at: Instant, time| now.duration_since(at) >= time;
        let latest = self.answers.latest(subject);
        let Some(latest) = latest.filter(|at| !is_past(*at, K::ANSWER_MEMORY)) else {
            return Standing::Unknown;
        };
        if record.is_refused_for(K::MAX_CRASHES) {
            return Standing::Refused;
        }
        if is_past(latest, K::SILENCE_TIME) {
            return Standing::Silent;
        }
        let first = record.crashes.iter().min_by_key(|known| known.at);
        let is_doubtful = first.is_some_and(|first| {
            let are_others_answered = self.answers.requests() > first.answers;
            are_others_answered && is_past(first.at, K::DOUBT_TIME)
        });
        match is_doubtful {
            true => Standing::Doubtful,
            false => Standing::Sound,
        }
    }

    /// Returns whether this entry knows `count` crashes of a subject, and refuses others that explain them.
    fn is_explained(&self, subject: &K, count: usize) -> bool {
        let Some(record) = self.records.get(subject) else {
            return false;
        };
        if !K::IS_PART || record.crashes.len() < count {
            return false;
        }
        let others = self.records.iter().filter(|(other, _)| *other != subject);
        let refused = others.filter(|(_, record)| record.is_refused_for(K::MAX_CRASHES));
        let explained = refused.flat_map(|(_, record)| &record.crashes);
        let explained: HashSet<CrashId> = explained.map(|known| known.crash).collect();
        let mut crashes = record.crashes.iter();
        crashes.all(|known| explained.contains(&known.crash))
    }

    /// Decides what is refused, given all that is known of crashes and answers.
    fn judge(&mut self, now: Instant) {
        let told = self.records.values().filter(|record| record.is_told());
        let told = told.flat_map(|record| &record.crashes);
        let explained: HashSet<CrashId> = match K::IS_PART {
            true => told.map(|known| known.crash).collect(),
            false => HashSet::new(),
        };
        let mut suspects = Vec::new();
        for (subject, record) in &self.records {
            if record.crashes.len() < K::MAX_CRASHES || record.is_told() {
                continue;
            }
            let mut open = record.counted(now);
            let standing = self.standing(subject, record, now);
            open.retain(|known| !explained.contains(&known.crash));
            suspects.push(Suspect {
                subject: subject.clone(),
                open,
                standing,
            });
        }
        let mut crashes = self.crashes.clone();
        crashes.retain(|crash, _| !explained.contains(crash));
        let classes = judge::find_causes(suspects, crashes);
        self.lift_explained(&classes);
        for class in classes {
            self.refuse(&class, now);
        }
    }

    /// Lifts the refusals of subjects all of whose crashes others explain, unless they rest on crashes that are unknown here.
    fn lift_explained(&mut self, classes: &[Class<K>]) {
        if !K::IS_PART || classes.is_empty() {
            return;
        }
        let causes: HashSet<&K> = classes.iter().flat_map(|c| c.subjects.iter()).collect();
        let explained: HashSet<CrashId> =
            classes.iter().flat_map(|c| &c.crashes).copied().collect();
        for (subject, record) in &mut self.records {
            if record.is_told() || causes.contains(subject) {
                continue;
            }
            if record.crashes.iter().all(|c| explained.contains(&c.crash))
                && record.refusal.take().is_some()
            {
                self.verdicts.push(Verdict::Explained(subject.clone()));
            }
        }
    }

    /// Refuses a class of subjects, unless that is so already.
    fn refuse(&mut self, class: &Class<K>, now: Instant) {
        let Class {
            subjects, count, ..
        } = class;
        let mut is_new = false;
        for subject in subjects.iter() {
            let Some(record) = self.records.get_mut(subject) else {
                continue;
            };
            let known = record.refusal.as_ref();
            if known.is_some_and(|r| r.crashes >= K::MAX_CRASHES && r.class == *subjects) {
                continue;
            }
            record.refusal = Some(Refused {
                at: now,
                crashes: *count,
                class: subjects.clone(),
            });
            is_new = true;
        }
        if is_new {
            self.verdicts.push(Verdict::refused(subjects));
        }
    }
}

/// # Events
impl<K: Subject> Blame<K> {
    /// Records that an endpoint has written the whole answer to a request with these subjects.
    pub fn record_sound(&mut self, subjects: &[K], now: Instant) {
        self.answers.record_request(subjects, now);
        let mut is_changed = false;
        for subject in subjects {
            if let Some(record) = self.clear(subject) {
                self.rebuttals.insert(subject.clone(), now);
                is_changed |= record.refusal.is_some();
            }
        }
        if is_changed {
            self.judge(now);
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
                answers: self.answers.requests(),
            };
            self.blame(subjects, known);
            self.judge(now);
        } else {
            self.make_room_for_break(subjects.len());
            self.breaks.push(Break {
                endpoint: endpoint.clone(),
                incarnation,
                subjects: subjects.to_vec(),
                at: now,
                is_repeat,
            });
        }
    }

    /// Forgets the oldest broken connections until there is room for one with `count` subjects.
    fn make_room_for_break(&mut self, count: usize) {
        let mut total: usize = self.breaks.iter().map(|b| b.subjects.len()).sum();
        let oldest = self.breaks.iter().take_while(|b| {
            let is_full = total + count > MAX_BREAK_SUBJECTS;
            total -= b.subjects.len();
            is_full
        });
        let oldest = oldest.count();
        self.breaks.drain(..oldest);
        self.evicted.breaks += oldest as u64;
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
        if found.is_empty() {
            return;
        }
        for found in found {
            let known = Known {
                crash: crash_id(endpoint, incarnation),
                at: found.at,
                heard_at: now,
                is_repeat: found.is_repeat,
                answers: self.answers.requests(),
            };
            self.blame(&found.subjects, known);
        }
        self.judge(now);
    }

    /// Refuses subjects under which an endpoint has ended, unless an answer to them is remembered: a single crash is
    /// enough while earlier ones may be unknown.
    pub fn refuse_early(&mut self, subjects: &[K], now: Instant) {
        for subject in subjects {
            if self.is_answered(subject, now) {
                continue;
            }
            let record = self.record(subject);
            if record.refusal.is_none() {
                record.refusal = Some(Refused {
                    at: now,
                    crashes: 1,
                    class: [subject.clone()].into(),
                });
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
        self.answers.expire(now);
        self.rebuttals.retain(|_, at| is_recent(*at, REPORT_SPAN));
        self.crashes
            .retain(|_, known| is_recent(known.at, CRASH_TTL));
        self.records.retain(|_, record| match &record.refusal {
            Some(refusal) => is_recent(refusal.at, REFUSAL_TIME),
            None => {
                record.crashes.retain(|c| is_recent(c.at, CRASH_TTL));
                !record.crashes.is_empty()
            }
        });
    }

    /// Counts a crash against subjects that were not answered since; returns whether that is new for any.
    fn blame(&mut self, subjects: &[K], crash: Known) -> bool {
        let first = Known {
            is_repeat: false,
            ..crash
        };
        if self.crashes.len() >= MAX_KNOWN_CRASHES {
            limit::evict(&mut self.crashes, |known| known.at);
        }
        self.crashes.entry(crash.crash).or_insert(first);
        let mut is_new = false;
        for subject in subjects {
            if self.is_sound(subject, crash.at) {
                continue;
            }
            is_new |= self.record(subject).add(crash);
        }
        is_new
    }

    /// Returns the record of a subject; if there are too many, those with fewest crashes give way.
    fn record(&mut self, subject: &K) -> &mut Record<K> {
        if self.records.len() >= K::MAX_BLAMED && !self.records.contains_key(subject) {
            self.evicted.suspects += limit::evict(&mut self.records, Record::rank);
        }
        self.records.entry(subject.clone()).or_default()
    }

    /// Drops the blame of a subject, and returns it.
    fn clear(&mut self, subject: &K) -> Option<Record<K>> {
        let record = self.records.remove(subject)?;
        if let Some(refusal) = &record.refusal {
            self.verdicts.push(Verdict::Sound(subject.clone()));
            let others = refusal.class.iter().filter(|member| *member != subject);
            let others: Arc<[K]> = others.cloned().collect();
            for other in others.iter() {
                let refusal = self.records.get_mut(other).and_then(|r| r.refusal.as_mut());
                if let Some(refusal) = refusal {
                    refusal.class = others.clone();
                }
            }
            if !others.is_empty() {
                self.verdicts.push(Verdict::refused(&others));
            }
        }
        Some(record)
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
