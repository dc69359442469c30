use std::{
    cmp::Reverse,
    collections::{HashMap, HashSet},
    sync::Arc,
};

use super::{
    CrashId, Subject,
    record::{self, Known},
};

/// What earlier answers to a subject say.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Standing {
    /// No answer is remembered.
    Unknown,
    /// It has not been answered for [`Subject::SILENCE_TIME`].
    Silent,
    /// It has not been answered for [`Subject::DOUBT_TIME`], while others were.
    Doubtful,
    /// It was answered lately.
    Sound,
    /// It was answered once, and is refused since.
    Refused,
}

/// Blamed subject, with the crashes that nothing else explains yet.
#[derive(Clone, Debug)]
pub(super) struct Suspect<K> {
    pub(super) subject: K,
    pub(super) open: Vec<Known>,
    pub(super) standing: Standing,
}

/// Subjects one of which caused some crashes, as far as is known.
#[derive(Clone, Debug)]
pub(super) struct Class<K> {
    /// Subjects in order; a request with all of them crashes endpoints for certain.
    pub(super) subjects: Arc<[K]>,
    /// Number of crashes that count.
    pub(super) count: usize,
    pub(super) crashes: HashSet<CrashId>,
}

impl<K: Subject> Suspect<K> {
    /// Returns the number of open crashes beyond those that the subject is allowed, if they are enough to refuse it; `others`
    /// is the number of crashes that it does not explain.
    fn score(&self, others: usize) -> Option<usize> {
        let allowed = match self.standing {
            Standing::Unknown => 0,
            Standing::Doubtful if others == 0 => K::DOUBT_ALLOWANCE,
            Standing::Refused => K::ANSWERED_ALLOWANCE,
            Standing::Silent => K::ANSWERED_ALLOWANCE + others,
            Standing::Doubtful | Standing::Sound => return None,
        };
        let score = record::count(&self.open).checked_sub(allowed);
        score.filter(|score| *score >= K::MAX_CRASHES)
    }

    const fn was_answered(&self) -> bool {
        !matches!(self.standing, Standing::Unknown)
    }

    fn open_ids(&self) -> HashSet<CrashId> {
        self.open.iter().map(|known| known.crash).collect()
    }

    /// Counts the crashes since the first open one that the subject does not explain.
    ///
    /// They show that endpoints end by themselves, also under what is sound.
    fn count_others(&self, crashes: &HashMap<CrashId, Known>) -> usize {
        let (own, first) = (
            self.open_ids(),
            self.open.iter().map(|known| known.at).min(),
        );
        let others = crashes.values().filter(|known| {
            let is_later = first.is_some_and(|first| known.at >= first);
            is_later && !own.contains(&known.crash)
        });
        record::count(&others.copied().collect::<Vec<_>>())
    }
}

/// Finds the subjects that crash endpoints.
///
/// Where a request has several subjects, each crash is explained by one of them: first comes the subject with most crashes,
/// then the one with most of those that are left. `crashes` are all known ones.
pub(super) fn find_causes<K: Subject>(
    suspects: Vec<Suspect<K>>,
    crashes: HashMap<CrashId, Known>,
) -> Vec<Class<K>> {
    match K::IS_PART {
        true => explain_once(suspects, crashes),
        false => explain_apart(&suspects),
    }
}

fn explain_apart<K: Subject>(suspects: &[Suspect<K>]) -> Vec<Class<K>> {
    let causes = suspects.iter().filter(|suspect| suspect.score(0).is_some());
    let classes = causes.map(|suspect| Class {
        subjects: [suspect.subject.clone()].into(),
        count: record::count(&suspect.open),
        crashes: suspect.open_ids(),
    });
    classes.collect()
}

fn explain_once<K: Subject>(
    mut suspects: Vec<Suspect<K>>,
    mut unexplained: HashMap<CrashId, Known>,
) -> Vec<Class<K>> {
    let mut found = Vec::new();
    suspects.sort_by(|a, b| a.subject.cmp(&b.subject));
    while let Some(best) = find_best(&suspects, &unexplained) {
        let (crashes, was_answered) = (best.open_ids(), best.was_answered());
        let count = record::count(&best.open);
        let is_alike = |suspect: &&Suspect<K>| {
            suspect.was_answered() == was_answered && suspect.open_ids() == crashes
        };
        let members = suspects.iter().filter(is_alike);
        let subjects = members.map(|suspect| suspect.subject.clone()).collect();
        for suspect in &mut suspects {
            let is_open = |known: &Known| !crashes.contains(&known.crash);
            suspect.open.retain(is_open);
        }
        unexplained.retain(|crash, _| !crashes.contains(crash));
        found.push(Class {
            subjects,
            count,
            crashes,
        });
    }
    found
}

/// Returns the suspect that explains most crashes; of equal ones, the one that has been answered least.
fn find_best<'a, K: Subject>(
    suspects: &'a [Suspect<K>],
    unexplained: &HashMap<CrashId, Known>,
) -> Option<&'a Suspect<K>> {
    let scored = suspects.iter().filter_map(|suspect| {
        let others = match suspect.standing {
            Standing::Unknown => 0,
            _ => suspect.count_others(unexplained),
        };
        Some((suspect.score(others)?, suspect))
    });
    let best = scored
        .max_by_key(|(score, suspect)| (*score, Reverse(suspect.was_answered()), &suspect.subject));
    best.map(|(_, suspect)| suspect)
}
