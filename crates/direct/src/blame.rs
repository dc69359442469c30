//! Finds what crashes endpoints: requests, and parts of their prompts.

mod answers;
mod judge;
mod limit;
mod news;
mod record;
mod subject;

use std::{
    cmp::Reverse,
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use conf::id;
use group::{REFUSAL_TIME, Refusal};
use rand::seq::{IteratorRandom as _, SliceRandom as _};
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
/// Maximum number of entries in each list of [`News`]; which ones are told alternates if they are more.
const MAX_NEWS: usize = 16;
/// Number of crashes in [`News`] that are chosen by what they tell.
const MAX_FIRST_NEWS: usize = 12;
/// Maximum number of subjects of all crashes in [`News`], unless a single crash has more.
const MAX_NEWS_SUBJECTS: usize = 1024;
/// Maximum number of joint refusals in [`News`], and of subjects in each.
const MAX_JOINT: usize = 2;
const MAX_JOINT_SUBJECTS: usize = 16;

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
        if !self.is_answered(subject, now) {
            return Standing::Unknown;
        }
        if record.is_refused_for(K::MAX_CRASHES) {
            return Standing::Refused;
        }
        let is_past =
            |at: Option<Instant>, time| at.is_none_or(|at| now.duration_since(at) >= time);
        if is_past(self.answers.latest(subject), K::SILENCE_TIME) {
            return Standing::Silent;
        }
        let first = record.crashes.iter().min_by_key(|known| known.at);
        let is_doubtful = first.is_some_and(|first| {
            let are_others_answered = self.answers.requests() > first.answers;
            are_others_answered && is_past(Some(first.at), K::DOUBT_TIME)
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

    /// Lifts the refusals of subjects all of whose crashes others explain.
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

/// # Other entries
impl<K: Subject> Blame<K> {
    /// Returns what other entries need to know: what is close to being refused first, then the newest.
    #[must_use]
    pub fn news(&self, now: Instant) -> News<K> {
        let is_recent = |at: Instant| now.duration_since(at) < REPORT_SPAN;
        let mut sound: Vec<(&K, &Instant)> = self.rebuttals.iter().collect();
        sound.retain(|(_, at)| is_recent(**at));
        sound.shuffle(&mut rand::rng());
        sound.sort_by_key(|(_, at)| Reverse(**at));
        let sound = sound.into_iter().map(|(subject, _)| subject.clone());
        News {
            crashes: self.recent_crashes(now),
            refused: self.refusals(MAX_NEWS, now),
            sound: sound.take(MAX_NEWS).collect(),
            joint: self.joint_refusals(now),
            answered: self.answered_before(now),
        }
    }

    /// Lists subjects with several recent crashes that were answered before, those with most crashes first.
    fn answered_before(&self, now: Instant) -> Vec<Answered<K>> {
        if !K::IS_PART {
            return Vec::new();
        }
        let is_recent = |known: &Known| now.duration_since(known.heard_at) < REPORT_SPAN;
        let blamed = self.records.iter().filter(|(_, record)| {
            record.crashes.len() + 1 >= K::MAX_CRASHES && record.crashes.iter().any(is_recent)
        });
        let answered = blamed.filter_map(|(subject, record)| {
            let latest = self.answers.latest(subject)?;
            let answered = Answered {
                subject: subject.clone(),
                age: now.duration_since(latest),
            };
            Some((record.crashes.len(), answered))
        });
        let mut answered: Vec<_> = answered.collect();
        answered.shuffle(&mut rand::rng());
        answered.sort_by_key(|(count, _)| Reverse(*count));
        let answered = answered.into_iter().map(|(_, answered)| answered);
        answered.take(MAX_NEWS).collect()
    }

    /// Lists recent crashes: those of much blamed subjects, then the newest, then some of the others.
    ///
    /// A crash is told with all subjects at once: an entry that knew some of them would take these for the cause.
    fn recent_crashes(&self, now: Instant) -> Vec<Crash<K>> {
        let mut found: HashMap<_, (usize, Instant, Crash<K>)> = HashMap::new();
        for (subject, record) in &self.records {
            for known in &record.crashes {
                if now.duration_since(known.heard_at) >= REPORT_SPAN {
                    continue;
                }
                let request = (!K::IS_PART).then_some(subject);
                let entry = found.entry((known.crash, known.is_repeat, request));
                let (count, heard_at, crash) = entry.or_insert_with(|| {
                    let crash = Crash {
                        subjects: Vec::new(),
                        crash: known.crash,
                        age: now.duration_since(known.at),
                        is_repeat: known.is_repeat,
                    };
                    (0, known.heard_at, crash)
                });
                *count = record.crashes.len().max(*count);
                *heard_at = known.heard_at.max(*heard_at);
                crash.subjects.push(subject.clone());
            }
        }
        let mut found: Vec<_> = found.into_values().collect();
        let mut random = rand::rng();
        found.shuffle(&mut random);
        found.sort_by_key(|(count, heard_at, _)| Reverse((*count, *heard_at)));
        if let Some(others) = found.get_mut(MAX_FIRST_NEWS..) {
            others.shuffle(&mut random);
        }
        let mut room = MAX_NEWS_SUBJECTS;
        let crashes = found.into_iter().map(|(_, _, crash)| crash);
        let crashes = crashes.filter(|crash| {
            let size = crash.subjects.len();
            let fits = size <= room || room == MAX_NEWS_SUBJECTS;
            room = room.saturating_sub(if fits { size } else { 0 });
            fits
        });
        crashes.take(MAX_NEWS).collect()
    }

    /// Applies what another entry tells; the entry's own experience that a subject is sound goes first.
    pub fn merge(&mut self, news: &News<K>, now: Instant) {
        let mut is_changed = false;
        for subject in &news.sound {
            self.answers.record(subject, now);
            if self.clear(subject).is_some() {
                self.answers.count_request();
                is_changed = true;
            }
        }
        let blamed = news.crashes.iter();
        let blamed = blamed.flat_map(|c| c.subjects.iter().map(|subject| (subject, c.age)));
        let refused = news.refused.iter().map(|r| (&r.subject, r.age));
        let joint = news.joint.iter();
        let joint = joint.flat_map(|r| r.subject.iter().map(|subject| (subject, r.age)));
        for (subject, age) in blamed.chain(refused).chain(joint) {
            let at = now.checked_sub(age).unwrap_or(now);
            if self.is_sound(subject, at) && !news.sound.contains(subject) {
                self.rebuttals.insert(subject.clone(), now);
            }
        }
        for Answered { subject, age } in &news.answered {
            let at = now.checked_sub(*age).unwrap_or(now);
            is_changed |= self.answers.learn(subject, at);
        }
        for crash in &news.crashes {
            let known = Known {
                crash: crash.crash,
                at: now.checked_sub(crash.age).unwrap_or(now),
                heard_at: now,
                is_repeat: crash.is_repeat,
                answers: self.answers.requests(),
            };
            is_changed |= self.blame(&crash.subjects, known);
        }
        for refusal in &news.refused {
            self.merge_refusal(refusal, now);
        }
        for refusal in &news.joint {
            self.merge_joint_refusal(refusal, now);
        }
        if is_changed {
            self.judge(now);
        }
    }

    /// Lists up to `limit` subjects that are refused by themselves, a sample if they are more.
    #[must_use]
    pub fn refusals(&self, limit: usize, now: Instant) -> Vec<Refusal<K>> {
        let refused = self.valid_refusals(now).filter(|r| r.is_single());
        let refused = refused.map(|refusal| Refusal {
            subject: refusal.class[0].clone(),
            age: now.duration_since(refusal.at),
            crashes: refusal.crashes.try_into().unwrap_or(u32::MAX),
        });
        // A sample, so that all are told in some messages.
        refused.sample(&mut rand::rng(), limit)
    }

    /// Lists some of the classes of subjects that are refused together.
    fn joint_refusals(&self, now: Instant) -> Vec<Refusal<Vec<K>>> {
        let is_told = |r: &&Refused<K>| !r.is_single() && r.class.len() <= MAX_JOINT_SUBJECTS;
        let refused = self.valid_refusals(now).filter(is_told);
        let refused = refused.map(|refusal| Refusal {
            subject: refusal.class.to_vec(),
            age: now.duration_since(refusal.at),
            crashes: refusal.crashes.try_into().unwrap_or(u32::MAX),
        });
        refused.sample(&mut rand::rng(), MAX_JOINT)
    }

    /// Returns the refusals that are remembered, each class once.
    fn valid_refusals(&self, now: Instant) -> impl Iterator<Item = &Refused<K>> {
        self.records.iter().filter_map(move |(subject, record)| {
            let refusal = record.refusal.as_ref()?;
            let is_recent = now.duration_since(refusal.at) < REFUSAL_TIME;
            (is_recent && refusal.class.first() == Some(subject)).then_some(refusal)
        })
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
            || self.is_answered(subject, now) && count < K::MAX_CRASHES + K::ANSWERED_ALLOWANCE
            || self.is_explained(subject, count)
        {
            return;
        }
        let record = self.record(subject);
        if record.is_refused_for(count.min(K::MAX_CRASHES)) {
            return;
        }
        record.refusal = Some(Refused {
            at,
            crashes: count,
            class: [subject.clone()].into(),
        });
        self.verdicts.push(match count < K::MAX_CRASHES {
            true => Verdict::RefusedEarly(subject.clone()),
            false => Verdict::Refused(subject.clone()),
        });
    }

    /// Applies what another entry tells of subjects that are refused together.
    fn merge_joint_refusal(&mut self, refusal: &Refusal<Vec<K>>, now: Instant) {
        let at = now.checked_sub(refusal.age).unwrap_or(now);
        let count = usize::try_from(refusal.crashes).unwrap_or(usize::MAX);
        let is_blamed = |subject: &&K| !self.is_sound(subject, at);
        let class: Arc<[K]> = refusal.subject.iter().filter(is_blamed).cloned().collect();
        let is_known = |subject: &K| {
            let record = self.records.get(subject);
            record.is_some_and(|record| record.refusal.is_some() || record.crashes.len() >= count)
        };
        if refusal.age >= REFUSAL_TIME || class.is_empty() || class.iter().any(is_known) {
            return;
        }
        for subject in class.iter() {
            self.record(subject).refusal = Some(Refused {
                at,
                crashes: count,
                class: class.clone(),
            });
        }
        self.verdicts.push(Verdict::refused(&class));
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
