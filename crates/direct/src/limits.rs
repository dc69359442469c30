//! Request rates that endpoints state they take from all entries together.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use conf::id;
use rand::{
    RngExt as _,
    rngs::SmallRng,
    seq::{IndexedRandom as _, SliceRandom as _},
};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    Incarnation,
    credit::{Amount, Credit},
    metadata::Limit,
};

/// Time for which a statement is remembered after its endpoint is no longer registered; a registration that
/// lapsed may come back within it.
const MEMORY: Duration = Duration::from_secs(120);
/// Age up to which a statement goes before older ones in messages to other entries.
const RECENT_SPAN: Duration = Duration::from_secs(2);
/// Highest rate that limits anything, in requests per second.
const MAX_RATE: f64 = 10_000.0;
/// Longest time that is stated to a refused client.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// Maximum number of entries to which fractions are handed at a time.
const MAX_COLLECTORS: usize = 4;
/// Maximum number of entries to which permits are handed at a time.
const MAX_USERS: usize = 8;

/// Number of the statements that an endpoint is known to have made, in the order of cause and effect.
type Version = u64;

/// Limits the requests of all entries to endpoints that state how many they take.
///
/// What endpoints state is spread with versions: an answer gets a later one than all statements that were known
/// when its request was sent, so that late news never undo what came after them. The requests are limited by
/// credit, which entries collect at one of them, a different one for each endpoint: with many entries, none
/// would earn a whole one by itself in time.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    /// In a fixed order, so that the seed of a test determines what is drawn for which endpoint.
    endpoints: BTreeMap<id::Endpoint, Record>,
    /// Time from which on the next refused client of a service finds room.
    turns: HashMap<id::Service, Instant>,
    /// Number of changes so far.
    changes: u64,
}

#[derive(Clone, Debug)]
struct Record {
    incarnation: Incarnation,
    version: Version,
    /// Requests per second; `None` if the endpoint states no limit.
    rate: Option<f64>,
    learned_at: Instant,
    credit: Credit,
    /// Last limit that could not be read.
    unreadable: Option<SmolStr>,
}

/// What an endpoint states, as entries tell each other.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Statement {
    endpoint: id::Endpoint,
    incarnation: Incarnation,
    version: Version,
    /// Requests per second; `None` if the endpoint states no limit.
    rate: Option<f64>,
}

/// Credit for requests to an endpoint that one entry hands to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Grant {
    endpoint: id::Endpoint,
    incarnation: Incarnation,
    amount: Amount,
}

/// How the knowledge of an endpoint's limit changed.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The endpoint states a new limit, in requests per second.
    Limited(f64),
    /// The endpoint no longer states a limit.
    Ended,
    /// The endpoint states a limit that cannot be read; the previous one stays in effect.
    Unreadable(SmolStr),
}

/// # Statements
impl Limits {
    /// Records what the answer to a request that was sent at `sent_at` states; returns what that changes.
    pub fn record_answer(
        &mut self,
        endpoint: &id::Endpoint,
        incarnation: Incarnation,
        limit: &Limit,
        sent_at: Instant,
        now: Instant,
    ) -> Option<Change> {
        if *limit == Limit::Absent && !self.endpoints.contains_key(endpoint) {
            return None;
        }
        let record = self.record(endpoint, incarnation, now)?;
        let rate = match limit {
            Limit::Absent => None,
            Limit::Rate(rate) => Some(*rate).filter(|rate| *rate <= MAX_RATE),
            Limit::Unreadable(text) if record.unreadable.as_ref() == Some(text) => return None,
            Limit::Unreadable(text) => {
                record.unreadable = Some(text.clone());
                return Some(Change::Unreadable(text.clone()));
            }
        };
        // An answer that allows more may be older than what is known if its request was sent before.
        let is_doubtful =
            sent_at < record.learned_at && or_unlimited(rate) > or_unlimited(record.rate);
        if rate == record.rate || is_doubtful {
            return None;
        }
        let version = record.version.saturating_add(1);
        self.apply(endpoint, version, rate, now)
    }

    /// Applies what another entry tells; returns what that changes.
    pub fn merge(&mut self, statements: &[Statement], now: Instant) -> Vec<(id::Endpoint, Change)> {
        let mut changes = Vec::new();
        for statement in statements {
            if statement
                .rate
                .is_some_and(|rate| !(0.0..=MAX_RATE).contains(&rate))
            {
                continue;
            }
            let endpoint = &statement.endpoint;
            let Some(record) = self.record(endpoint, statement.incarnation, now) else {
                continue;
            };
            let is_stricter = or_unlimited(statement.rate) < or_unlimited(record.rate);
            let is_newer = statement.version > record.version
                || statement.version == record.version && is_stricter;
            if is_newer {
                let change = self.apply(endpoint, statement.version, statement.rate, now);
                changes.extend(change.map(|change| (endpoint.clone(), change)));
            }
        }
        changes
    }

    /// Returns the record of an endpoint's incarnation; `None` if a later one is known.
    fn record(
        &mut self,
        endpoint: &id::Endpoint,
        incarnation: Incarnation,
        now: Instant,
    ) -> Option<&mut Record> {
        let new = || Record {
            incarnation,
            version: 0,
            rate: None,
            learned_at: now,
            credit: Credit::new(0.0, now),
            unreadable: None,
        };
        let entry = self.endpoints.entry(endpoint.clone());
        let record = entry.or_insert_with(new);
        if record.incarnation < incarnation {
            *record = new();
        }
        (record.incarnation == incarnation).then_some(record)
    }

    /// Replaces what is known of an endpoint; returns the change if there is one.
    fn apply(
        &mut self,
        endpoint: &id::Endpoint,
        version: Version,
        rate: Option<f64>,
        now: Instant,
    ) -> Option<Change> {
        let record = self.endpoints.get_mut(endpoint)?;
        let before = std::mem::replace(&mut record.rate, rate);
        record.version = version;
        record.learned_at = now;
        self.changes += 1;
        match (before, rate) {
            (None, Some(rate)) => record.credit = Credit::new(rate, now),
            (Some(_), Some(rate)) => record.credit.set_rate(rate),
            (_, None) => {}
        }
        if before == rate {
            return None;
        }
        Some(rate.map_or(Change::Ended, Change::Limited))
    }

    /// Lists up to `limit` statements for other entries: the latest, and others at random.
    #[must_use]
    pub fn news(&self, limit: usize, random: &mut SmallRng, now: Instant) -> Vec<Statement> {
        let stated = self
            .endpoints
            .iter()
            .filter(|(_, record)| record.version > 0);
        let mut stated: Vec<_> = stated.collect();
        stated.shuffle(random);
        stated.sort_by_key(|(_, record)| now.duration_since(record.learned_at) >= RECENT_SPAN);
        let news = stated.into_iter().take(limit);
        news.map(|(endpoint, record)| Statement {
            endpoint: endpoint.clone(),
            incarnation: record.incarnation,
            version: record.version,
            rate: record.rate,
        })
        .collect()
    }

    /// Returns the number of changes so far.
    #[must_use]
    pub const fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns how many endpoints state a limit.
    #[must_use]
    pub fn count(&self) -> usize {
        let limited = self
            .endpoints
            .values()
            .filter(|record| record.rate.is_some());
        limited.count()
    }

    /// Removes old statements of endpoints that are no longer known.
    pub fn retain(&mut self, known: impl Fn(&id::Endpoint) -> bool, now: Instant) {
        self.endpoints.retain(|endpoint, record| {
            known(endpoint) || now.duration_since(record.learned_at) < MEMORY
        });
        self.turns.retain(|_, turn| *turn > now);
    }
}

/// # Requests
impl Limits {
    /// Returns how many requests per second an incarnation of an endpoint gets at most, if it states a limit.
    #[must_use]
    pub fn rate(&self, endpoint: &str, incarnation: Incarnation) -> Option<f64> {
        let record = self.endpoints.get(endpoint);
        let record = record.filter(|r| r.incarnation == incarnation && r.rate.is_some());
        record.map(|record| record.credit.rate())
    }

    /// Returns whether this entry, one of `entries`, may send a request to an endpoint that states a limit.
    pub fn allows(&mut self, endpoint: &str, entries: usize, now: Instant) -> bool {
        self.endpoints.get_mut(endpoint).is_some_and(|record| {
            record.credit.advance(entries, now);
            record.credit.is_available()
        })
    }

    /// Records that a request is sent to an endpoint that states a limit.
    pub fn record_sent(&mut self, endpoint: &str) {
        if let Some(record) = self.endpoints.get_mut(endpoint) {
            record.credit.spend();
        }
    }

    /// Returns the time after which a client that is refused now finds room at a service whose endpoints take
    /// `rate` requests per second from all of `entries` entries.
    ///
    /// Clients that are refused one after the other get later times, as if each entry refused as many.
    pub fn next_turn(
        &mut self,
        service: &id::Service,
        rate: f64,
        entries: usize,
        random: &mut SmallRng,
        now: Instant,
    ) -> Duration {
        let interval = entries.max(1) as f64 / rate.max(f64::MIN_POSITIVE);
        let interval = Duration::try_from_secs_f64(interval).map_or(MAX_WAIT, |i| i.min(MAX_WAIT));
        let turn = self.turns.entry(service.clone()).or_insert(now);
        let first = (*turn).max(now);
        *turn = (first + interval).min(now + MAX_WAIT);
        let wait = first.duration_since(now) + interval.mul_f64(random.random());
        wait.min(MAX_WAIT)
    }
}

/// # Credit
impl Limits {
    /// Takes the credit that other entries are to get, by the entry that gets it.
    ///
    /// Fractions go to the entry that collects them for the endpoint, permits that this entry has no use for to
    /// any other. `entries` divide the rate, `others` are those that are heard of.
    pub fn hand_over(
        &mut self,
        own: &id::Process,
        others: &[id::Process],
        entries: usize,
        random: &mut SmallRng,
        now: Instant,
    ) -> Vec<(id::Process, Vec<Grant>)> {
        let mut grants: BTreeMap<&id::Process, Vec<Grant>> = BTreeMap::new();
        let users: Vec<&id::Process> = others.sample(random, MAX_USERS).collect();
        let mut users = users.iter().cycle();
        let mut collectors: Vec<&id::Process> = Vec::new();
        let limited = self.endpoints.iter_mut().filter(|(_, r)| r.rate.is_some());
        let mut limited: Vec<_> = limited.collect();
        limited.shuffle(random);
        for (endpoint, record) in limited {
            record.credit.advance(entries, now);
            let mut give = |receiver, amount| {
                let grant = Grant {
                    endpoint: endpoint.clone(),
                    incarnation: record.incarnation,
                    amount,
                };
                grants.entry(receiver).or_default().push(grant);
            };
            let collector = collector(endpoint, own, others);
            let is_full = collectors.len() >= MAX_COLLECTORS && !collectors.contains(&collector);
            if collector != own
                && !is_full
                && let Some(fraction) = record.credit.take_fraction()
            {
                if !collectors.contains(&collector) {
                    collectors.push(collector);
                }
                give(collector, fraction);
            }
            if others.is_empty() {
                continue;
            }
            for (permit, user) in record.credit.take_idle().into_iter().zip(&mut users) {
                give(user, permit);
            }
        }
        let grants = grants.into_iter();
        grants
            .map(|(receiver, grants)| (receiver.clone(), grants))
            .collect()
    }

    /// Adds credit that another entry handed over.
    pub fn receive(&mut self, grants: &[Grant], entries: usize, now: Instant) {
        for grant in grants {
            let record = self.endpoints.get_mut(&grant.endpoint);
            let record = record.filter(|r| r.incarnation == grant.incarnation);
            if let Some(record) = record.filter(|r| r.rate.is_some()) {
                record.credit.advance(entries, now);
                record.credit.receive(&grant.amount);
            }
        }
    }
}

/// Returns the entry that collects the credit for an endpoint, the same for all that know the same entries.
fn collector<'a>(
    endpoint: &id::Endpoint,
    own: &'a id::Process,
    others: &'a [id::Process],
) -> &'a id::Process {
    let seed = xxh3_64_with_seed(endpoint.as_bytes(), 0);
    let weight = |process: &&id::Process| xxh3_64_with_seed(process.as_bytes(), seed);
    let best = others.iter().max_by_key(weight);
    best.filter(|best| weight(best) > weight(&own))
        .unwrap_or(own)
}

/// Returns a rate for comparison, infinite if there is no limit.
fn or_unlimited(rate: Option<f64>) -> f64 {
    rate.unwrap_or(f64::INFINITY)
}
