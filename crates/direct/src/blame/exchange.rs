use std::{cmp::Reverse, collections::HashMap, sync::Arc};

use group::{REFUSAL_TIME, Refusal};
use rand::seq::{IteratorRandom as _, SliceRandom as _};
use tokio::time::Instant;

use super::{
    Answered, Blame, Crash, News, REPORT_SPAN, Subject, Verdict,
    record::{Known, Refused},
};

/// Maximum number of entries in each list of [`News`]; which ones are told alternates if they are more.
const MAX_NEWS: usize = 16;
/// Number of crashes in [`News`] that are chosen by what they tell.
const MAX_FIRST_NEWS: usize = 12;
/// Maximum number of subjects of all crashes in [`News`], unless a single crash has more.
const MAX_NEWS_SUBJECTS: usize = 1024;
/// Maximum number of joint refusals in [`News`], and of subjects in each.
const MAX_JOINT: usize = 2;
const MAX_JOINT_SUBJECTS: usize = 16;

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
            is_changed |= self.learn_answer(subject, at);
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

    /// Records an answer that another entry had before the crashes that it knows; returns whether that is news.
    fn learn_answer(&mut self, subject: &K, at: Instant) -> bool {
        let is_new = self.answers.learn(subject, at);
        if let Some(record) = self.records.get_mut(subject) {
            record.crashes.retain(|known| known.at >= at);
        }
        is_new
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
