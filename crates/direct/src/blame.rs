use std::{collections::HashMap, time::Duration};

use conf::id;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use smol_str::SmolStr;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{departures::Incarnation, suspects::CrashId};

/// Number of crashes after which a part is refused.
const MAX_CRASHES: usize = 3;
/// Least time between two crashes that both count: endpoints that end together have another cause, unless the
/// request that ran on one of them went there from the other.
const CRASH_SPACING: Duration = Duration::from_millis(200);
/// Time for which a crash counts against a part.
const CRASH_TTL: Duration = Duration::from_secs(60);
/// Time for which a part is refused.
const REFUSAL_TIME: Duration = Duration::from_secs(600);
/// Time for which a part is not blamed after an endpoint has written an answer to it.
const SOUND_TIME: Duration = Duration::from_secs(10);
/// Time between the break of a connection and the sign that its endpoint has ended: the store drops the
/// registration of a silent endpoint after three of its heartbeats.
const SIGN_TIME: Duration = Duration::from_secs(5);
/// Age up to which crashes and rebuttals are told to other entries.
const REPORT_SPAN: Duration = Duration::from_secs(2);
/// Maximum number of blamed parts, and of breaks that are remembered.
const MAX_RECORDS: usize = 512;
/// Maximum number of parts that count as sound.
const MAX_SOUND: usize = 4096;
/// Maximum number of entries in each list of [`News`], so that they fit into one packet.
const MAX_NEWS: usize = 16;

/// Id of a part of a prompt, which other requests may share.
pub type Part = SmolStr;

/// Crash of an endpoint that ran a request with a part.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Crash {
    /// Part of the request's prompt.
    pub part: Part,
    /// Id of the crash, the same at all entries.
    pub crash: CrashId,
    /// Time since the crash.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
    /// Whether the request had been sent on after another crash.
    pub is_repeat: bool,
}

/// Part that is refused.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// Part that is refused.
    pub part: Part,
    /// Time since it has been.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
}

/// What an entry tells others of blamed parts.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct News {
    /// Recent crashes.
    pub crashes: Vec<Crash>,
    /// Parts that are refused.
    pub refused: Vec<Refusal>,
    /// Blamed parts that turned out to be sound.
    pub sound: Vec<Part>,
}

/// Change of what is refused, for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Requests with the part are refused from now on.
    Refused(Part),
    /// Requests with the part are no longer refused.
    Sound(Part),
}

/// Finds the parts of prompts under which endpoints crash, whatever else a request holds.
///
/// A part is blamed if a connection broke before an endpoint had written an answer to a request with it, and
/// the endpoint turns out to have ended. Each crash counts once, however many requests and entries it
/// concerned. A part to which any endpoint writes an answer is sound: that tells parts that many requests
/// share from the one among them that crashes endpoints.
#[derive(Clone, Debug, Default)]
pub struct Blame {
    records: HashMap<Part, Record>,
    /// Connections that broke before an answer, until there is a sign that the endpoint has ended.
    breaks: Vec<Break>,
    /// Endpoints that ended.
    ended: HashMap<(id::Endpoint, Incarnation), Instant>,
    /// Parts to which answers were written, with the time of the latest.
    sound: HashMap<Part, Instant>,
    /// Blamed parts that are known to be sound, for other entries.
    rebuttals: Vec<(Part, Instant)>,
    verdicts: Vec<Verdict>,
}

#[derive(Clone, Debug, Default)]
struct Record {
    crashes: Vec<Known>,
    refused_at: Option<Instant>,
}

/// Known crash, with the time at which this entry learned of it.
#[derive(Clone, Copy, Debug)]
struct Known {
    crash: CrashId,
    at: Instant,
    heard_at: Instant,
    is_repeat: bool,
}

#[derive(Clone, Debug)]
struct Break {
    endpoint: id::Endpoint,
    incarnation: Incarnation,
    parts: Vec<Part>,
    at: Instant,
    is_repeat: bool,
}

/// # Decisions
impl Blame {
    /// Returns the first of a request's parts that is refused.
    #[must_use]
    pub fn find_refused<'a>(&self, parts: &'a [Part], now: Instant) -> Option<&'a Part> {
        parts.iter().find(|part| {
            let refused_at = self.records.get(*part).and_then(|r| r.refused_at);
            refused_at.is_some_and(|at| now.duration_since(at) < REFUSAL_TIME)
        })
    }

    /// Returns the changes of what is refused since the last call.
    pub fn take_verdicts(&mut self) -> Vec<Verdict> {
        std::mem::take(&mut self.verdicts)
    }
}

/// # Events
impl Blame {
    /// Records that an endpoint writes an answer to a request with these parts.
    pub fn record_sound(&mut self, parts: &[Part], now: Instant) {
        for part in parts {
            if self.sound.len() < MAX_SOUND || self.sound.contains_key(part) {
                self.sound.insert(part.clone(), now);
            }
            if self.clear(part) {
                self.rebut(part, now);
            }
        }
    }

    /// Records that the connection to an endpoint broke before it had written an answer to a request with
    /// these parts; `is_repeat` if the request had been sent on after another break.
    pub fn record_break(
        &mut self,
        endpoint: &id::Endpoint,
        incarnation: Incarnation,
        parts: &[Part],
        is_repeat: bool,
        now: Instant,
    ) {
        if parts.is_empty() {
            return;
        }
        if self.ended.contains_key(&(endpoint.clone(), incarnation)) {
            let known = Known {
                crash: crash_id(endpoint, incarnation),
                at: now,
                heard_at: now,
                is_repeat,
            };
            self.blame(parts, known);
        } else if self.breaks.len() < MAX_RECORDS {
            self.breaks.push(Break {
                endpoint: endpoint.clone(),
                incarnation,
                parts: parts.to_vec(),
                at: now,
                is_repeat,
            });
        }
    }

    /// Records a sign that an endpoint has ended: it cannot be reached, another one has its address, or
    /// others name it as lost.
    pub fn record_end(&mut self, endpoint: &id::Endpoint, incarnation: Incarnation, now: Instant) {
        self.ended.insert((endpoint.clone(), incarnation), now);
        let is_of = |b: &Break| b.endpoint == *endpoint && b.incarnation == incarnation;
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
            self.blame(&found.parts, known);
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
        self.sound.retain(|_, at| is_recent(*at, SOUND_TIME));
        self.rebuttals.retain(|(_, at)| is_recent(*at, REPORT_SPAN));
        self.records.retain(|_, record| match record.refused_at {
            Some(at) => is_recent(at, REFUSAL_TIME),
            None => {
                record.crashes.retain(|c| is_recent(c.at, CRASH_TTL));
                !record.crashes.is_empty()
            }
        });
    }

    /// Counts a crash against parts that are not known to be sound.
    fn blame(&mut self, parts: &[Part], crash: Known) {
        for part in parts {
            if self.is_sound(part, crash.at) {
                continue;
            }
            if self.records.len() >= MAX_RECORDS && !self.records.contains_key(part) {
                return;
            }
            let record = self.records.entry(part.clone()).or_default();
            if record
                .crashes
                .iter()
                .any(|known| known.crash == crash.crash)
            {
                continue;
            }
            record.crashes.push(crash);
            if record.refused_at.is_none() && record.count(crash.heard_at) >= MAX_CRASHES {
                record.refused_at = Some(crash.heard_at);
                self.verdicts.push(Verdict::Refused(part.clone()));
            }
        }
    }

    /// Returns whether an answer was written to a part after a time, or shortly before.
    fn is_sound(&self, part: &Part, at: Instant) -> bool {
        let last = self.sound.get(part);
        last.is_some_and(|last| *last + SOUND_TIME > at)
    }

    /// Drops the blame of a part; returns whether there was any.
    fn clear(&mut self, part: &Part) -> bool {
        let Some(record) = self.records.remove(part) else {
            return false;
        };
        if record.refused_at.is_some() {
            self.verdicts.push(Verdict::Sound(part.clone()));
        }
        true
    }

    fn rebut(&mut self, part: &Part, now: Instant) {
        self.rebuttals.retain(|(known, _)| known != part);
        self.rebuttals.push((part.clone(), now));
    }
}

/// # Other entries
impl Blame {
    /// Returns what other entries need to know.
    #[must_use]
    pub fn news(&self, now: Instant) -> News {
        let is_recent = |at: Instant| now.duration_since(at) < REPORT_SPAN;
        let crashes = self.records.iter().flat_map(|(part, record)| {
            let recent = record.crashes.iter().filter(|c| is_recent(c.heard_at));
            recent.map(|c| Crash {
                part: part.clone(),
                crash: c.crash,
                age: now.duration_since(c.at),
                is_repeat: c.is_repeat,
            })
        });
        let refused = self.records.iter().filter_map(|(part, record)| {
            let age = now.duration_since(record.refused_at?);
            let part = part.clone();
            (age < REFUSAL_TIME).then_some(Refusal { part, age })
        });
        let sound = self.rebuttals.iter().filter(|(_, at)| is_recent(*at));
        News {
            crashes: crashes.take(MAX_NEWS).collect(),
            refused: refused.take(MAX_NEWS).collect(),
            sound: sound.map(|(part, _)| part.clone()).take(MAX_NEWS).collect(),
        }
    }

    /// Applies what another entry tells; the entry's own experience that a part is sound goes first.
    pub fn merge(&mut self, news: &News, now: Instant) {
        for part in &news.sound {
            self.sound.insert(part.clone(), now);
            self.clear(part);
        }
        let blamed = news.crashes.iter().map(|crash| &crash.part);
        for part in blamed.chain(news.refused.iter().map(|refusal| &refusal.part)) {
            if self.is_sound(part, now) && !news.sound.contains(part) {
                self.rebut(part, now);
            }
        }
        for crash in &news.crashes {
            let known = Known {
                crash: crash.crash,
                at: now.checked_sub(crash.age).unwrap_or(now),
                heard_at: now,
                is_repeat: crash.is_repeat,
            };
            self.blame(std::slice::from_ref(&crash.part), known);
        }
        for Refusal { part, age } in &news.refused {
            let is_known = self
                .records
                .get(part)
                .is_some_and(|r| r.refused_at.is_some());
            if is_known || *age >= REFUSAL_TIME || self.is_sound(part, now) {
                continue;
            }
            let record = self.records.entry(part.clone()).or_default();
            record.refused_at = Some(now.checked_sub(*age).unwrap_or(now));
            self.verdicts.push(Verdict::Refused(part.clone()));
        }
    }
}

impl Record {
    /// Returns the number of recent crashes that lie apart from each other or are repeats.
    fn count(&self, now: Instant) -> usize {
        let recent = self.crashes.iter();
        let recent = recent.filter(|c| now.duration_since(c.at) < CRASH_TTL);
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

/// Returns the id of an endpoint's crash, which all entries derive alike.
fn crash_id(endpoint: &id::Endpoint, incarnation: Incarnation) -> CrashId {
    // The upper half is as random as the whole.
    (xxh3_64_with_seed(endpoint.as_bytes(), incarnation) >> 32) as CrashId
}
